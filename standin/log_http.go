package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// maxWait bounds how long a read waits for a first record.
const maxWait = 30 * time.Second

// Log serves a LogState over HTTP.
type Log struct {
	State *LogState
	clock Clock
}

// NewLog returns the server of a log.
func NewLog(state *LogState, clock Clock) *Log { return &Log{State: state, clock: clock} }

// ServeHTTP answers POST /log/{stream} and GET
// /log/{stream}?after=&limit=&wait=, wait being a Go duration.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stream := ports.Stream(strings.TrimPrefix(r.URL.Path, ports.PathLog))
	switch r.Method {
	case http.MethodPost:
		l.append(w, r, stream)
	case http.MethodGet:
		l.read(w, r, stream)
	default:
		problem(w, http.StatusMethodNotAllowed, ports.Problem{Refusal: ports.RefusedMalformed})
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request, stream ports.Stream) {
	var req ports.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	offset, err := l.State.Append(l.clock(), stream, req.Group)
	if !l.delay(r) {
		return
	}
	if err != nil {
		replyError(w, r, err)
		return
	}
	reply(w, ports.AppendAnswer{Offset: offset})
}

// delay waits as long as the log is slow. It reports false if the caller is
// gone before.
func (l *Log) delay(r *http.Request) bool {
	return sleep(r, l.State.Faults().Slow)
}

// sleep waits for d unless the caller is gone before; then it reports false.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (l *Log) read(w http.ResponseWriter, r *http.Request, stream ports.Stream) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	wait, errWait := time.ParseDuration(query.Get("wait"))
	if errAfter != nil || errLimit != nil || errWait != nil || limit <= 0 {
		problem(w, http.StatusBadRequest, ports.Problem{
			Refusal: ports.RefusedMalformed, Detail: "want after, limit and wait",
		})
		return
	}
	page, err := l.await(r, stream, ports.Offset(after), limit, min(wait, maxWait))
	if !l.delay(r) {
		return
	}
	if err != nil {
		replyError(w, r, err)
		return
	}
	reply(w, page)
}

// await reads, and waits for a first record if there is none.
func (l *Log) await(r *http.Request, stream ports.Stream, after ports.Offset, limit int, wait time.Duration) (ports.Page, error) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for waiting := wait > 0; ; {
		page, grown, err := l.State.Read(l.clock(), stream, after, limit)
		if err != nil || len(page.Records) > 0 || !waiting {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			waiting = false // read once more: the log may be down by now
		case <-r.Context().Done():
			return page, nil
		}
	}
}
