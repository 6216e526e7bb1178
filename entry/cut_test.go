package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/fireflyfold/fireflyfold/entry"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// cutError is how a connection to a worker breaks.
type cutError struct{}

func (*cutError) Error() string { return "connection reset by the test" }

// cuttingWorkers cut the answer to the first call of each path that ends in
// /cut/HOW/BYTES: HOW is "short" for an end that looks clean, "reset" for an
// error, and "unsized" for an error in an answer of unknown length.
type cuttingWorkers struct {
	ports.Workers
	mu   sync.Mutex
	done map[string]bool
}

func (w *cuttingWorkers) Call(ctx context.Context, addr string, call ports.Call) (ports.Answer, error) {
	answer, err := w.Workers.Call(ctx, addr, call)
	_, how, found := strings.Cut(call.Path, "/cut/")
	if err != nil || !found || !w.first(call.Path) {
		return answer, err
	}
	kind, count, _ := strings.Cut(how, "/")
	var n int64
	if _, err := fmt.Sscan(count, &n); err != nil {
		return ports.Answer{}, err
	}
	part := &cutBody{Reader: io.LimitReader(answer.Body, n), Closer: answer.Body, err: &cutError{}}
	switch kind {
	case "short":
		part.err = io.EOF
	case "unsized":
		answer.Length = -1
	}
	answer.Body = part
	return answer, nil
}

func (w *cuttingWorkers) first(path string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := !w.done[path]
	w.done[path] = true
	return first
}

// cutBody ends in err where its reader ends.
type cutBody struct {
	io.Reader
	io.Closer
	err error
}

func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = b.err
	}
	return n, err
}

// cutFleet is two hosts whose upstreams give large answers and are cut. There
// are many workers, because one whose answers are cut gets no request for a
// while.
func cutFleet(t *testing.T) (*localfleet.Fleet, []caller) {
	t.Helper()
	layout := oneHost()
	layout.Zones[0].Hosts = 2
	layout.Zones[0].Workers = 32
	layout.AnswerSize = 256 << 10
	f := startFleet(t, localfleet.Options{Layout: layout, Entry: func(o *entry.Options) {
		o.Workers = &cuttingWorkers{Workers: o.Workers, done: map[string]bool{}}
	}})
	var callers []caller
	for _, m := range f.Hosts() {
		c := callerOf(f, team)
		c.base = "http://" + m.Host.APIAddr()
		c.untilServed(t)
		c.settled(t, http.MethodPost, "/v1/services/grants/first", "", header{"Idempotency-Key", "first at " + string(m.ID)})
		callers = append(callers, c)
	}
	return f, callers
}

// whole reports whether an answer is the whole one to a body.
func whole(r reply, body string) bool {
	head, _, _ := strings.Cut(string(r.body), "\n")
	return r.status == http.StatusOK && bytes.Equal(r.body, standin.EchoBody(strings.TrimPrefix(head, "task "), []byte(body), 256<<10))
}

// An upstream's connection breaks in the middle of its answer, early or late.
// A caller of an approval must get a typed "unknown" or see its connection
// break, whether its host called the worker itself or through a peer. A cut
// answer that looks whole would be taken for the approval.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	_, callers := cutFleet(t)
	for _, how := range []string{"short/0", "short/1000", "short/200000", "reset/0", "reset/1000", "reset/200000", "unsized/1000", "unsized/200000"} {
		for n, c := range callers {
			for _, key := range []string{"", fmt.Sprint("key-", how, n)} {
				path := fmt.Sprintf("/v1/services/grants/%d%s/cut/%s", n, key, how)
				r, err := c.try(http.MethodPost, path, strings.NewReader("stairlift"), header{"Idempotency-Key", key})
				if err != nil {
					continue // the caller sees that the answer is not whole
				}
				if p := r.problem(t); p.Outcome != work.OutcomeUnknown {
					t.Errorf("%s: %+v", path, p)
				}
				if key == "" {
					continue
				}
				again := c.settled(t, http.MethodPost, path, "stairlift", header{"Idempotency-Key", key}).problem(t)
				if again.Outcome != work.OutcomeUnknown {
					t.Errorf("repeat of %s: %+v", path, again)
				}
			}
		}
	}
}

// An idempotent request whose answer is cut before its caller has seen any of
// it must be tried again, and the caller gets the whole answer.
func TestCutIdempotentRequestIsRepeated(t *testing.T) {
	_, callers := cutFleet(t)
	for _, c := range callers {
		// Retries are a share of successes: without some, the budget of a new
		// host is spent by the cuts below and any other retry at its start.
		for range 60 {
			c.do(t, http.MethodPut, "/v1/services/grants/whole", "quote")
		}
	}
	for _, how := range []string{"short/0", "short/1000", "reset/0", "reset/1000", "unsized/1000"} {
		for n, c := range callers {
			path := fmt.Sprintf("/v1/services/grants/%d/cut/%s", n, how)
			if r := c.do(t, http.MethodPut, path, "quote"); !whole(r, "quote") {
				t.Errorf("%s: status %d: %.300s", path, r.status, r.body)
			}
		}
	}
}

// A caller speaks HTTP/1.0, where an answer ends with its connection: it could
// not tell a cut answer from a whole one. It must be refused before it runs.
func TestOldProtocolRefused(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	c.untilServed(t)
	conn := c.dial(t)
	send(t, conn, "POST /v1/services/grants/x HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", c.key)
	if p := receive(t, conn).problem(t); p.Outcome != work.OutcomeNotRun {
		t.Errorf("%+v", p)
	}
	if calls := f.Platform.Audit.Counts().Calls; calls != 1 {
		t.Errorf("%d calls ran, want only the first", calls)
	}
}
