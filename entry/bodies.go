package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/problem"
)

// byteBudget bounds the memory that request bodies take together. No team may
// take more than its part, so that callers of one team who let their bodies
// trickle in leave room for the others.
type byteBudget struct {
	part int64 // most bytes of one team

	mu    sync.Mutex
	left  int64
	taken map[ident.TeamID]int64
}

// newByteBudget returns a budget of limit bytes. A team may take half of them,
// or the largest body if that is more.
func newByteBudget(limit, largest int64) *byteBudget {
	return &byteBudget{part: max(limit/2, largest), left: limit, taken: map[ident.TeamID]int64{}}
}

// reserve takes n bytes for a team, or reports false if they are not there.
func (b *byteBudget) reserve(team ident.TeamID, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left || b.taken[team]+n > b.part {
		return false
	}
	b.left -= n
	b.taken[team] += n
	return true
}

func (b *byteBudget) release(team ident.TeamID, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
	b.taken[team] -= n
	if b.taken[team] == 0 {
		delete(b.taken, team)
	}
}

// firstBodyBytes is what is reserved for a body of which nothing has come yet.
const firstBodyBytes = 512

// readAll reads a body of at most so many bytes to its end. Memory is reserved
// as the body fills it: a caller that announces a large body and sends nothing
// takes almost none. The capacity of the body is what is to be released. The
// errors are those of src and *BodyMemoryError.
func (b *byteBudget) readAll(team ident.TeamID, src io.Reader, most int64) ([]byte, error) {
	var body []byte
	for {
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		switch {
		case err != nil:
		case int64(len(body)) == most:
			if err = expectEnd(src, most); err == nil {
				return body, nil
			}
		case len(body) == cap(body):
			body, err = b.grow(team, body, most)
		}
		if err != nil {
			b.release(team, int64(cap(body)))
			return nil, err
		}
	}
}

// expectEnd reads the end of a body that is as long as it may be.
func expectEnd(src io.Reader, most int64) error {
	var beyond [1]byte
	switch _, err := io.ReadFull(src, beyond[:]); err {
	case io.EOF:
		return nil
	case nil:
		return &http.MaxBytesError{Limit: most}
	default:
		return err
	}
}

// grow makes room in a body that is full.
func (b *byteBudget) grow(team ident.TeamID, body []byte, most int64) ([]byte, error) {
	step := min(max(int64(cap(body)), firstBodyBytes), most-int64(cap(body)))
	if !b.reserve(team, step) {
		return body, &BodyMemoryError{}
	}
	grown := make([]byte, len(body), int64(cap(body))+step)
	copy(grown, body)
	return grown, nil
}

// readBody reads a body of at most the configured size, while the memory for
// all bodies lasts. What was reserved for it is its capacity.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request, team ident.TeamID) ([]byte, *problem.Problem) {
	limit := h.opts.Settings.Limits.MaxBody
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	most := limit
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	body, err := h.bodies.readAll(team, http.MaxBytesReader(w, r.Body, limit), most)
	var over *http.MaxBytesError
	var full *BodyMemoryError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case errors.As(err, &full):
		// Otherwise net/http reads the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, bodiesFull()
	}
	return nil, malformed("body", "", "a body that arrives whole within the time allowed")
}

func bodiesFull() *problem.Problem {
	return problem.NotRun(problem.TypeBusy, "this host holds too many request bodies").After(time.Second)
}

func malformed(name, value, allowed string) *problem.Problem {
	p := problem.NotRun(problem.TypeMalformed, name+" must be "+allowed)
	p.Fields = []problem.Field{{Name: name, Value: value, Allowed: allowed}}
	return p
}

func tooLarge(limit int64) *problem.Problem {
	return problem.NotRun(problem.TypeTooLarge, "the body is over the limit of "+strconv.FormatInt(limit, 10)+" bytes")
}
