package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Answers to two requests are swapped, one comes cut at the end of a line, and
// one run answers twice. A caller could not tell; the load tool must.
func TestCheckerFindsWrongAnswers(t *testing.T) {
	const size = 1000
	first, second := body(1, 1, 256), body(1, 2, 256)
	good := standin.EchoBody("z.h.1.1", first, size)
	cases := []struct {
		name   string
		answer []byte
		want   fault
	}{
		{"whole", good, ""},
		{"again", good, faultRepeated},
		{"of another request", standin.EchoBody("z.h.1.2", second, size), faultForeign},
		{"cut within a line", good[:len(good)-10], faultCut},
		{"with more behind it", append(append([]byte(nil), good...), good...), faultForeign},
		{"empty", nil, faultForeign},
	}
	c := newChecker()
	for _, tc := range cases {
		if got := c.check(first, tc.answer); got != tc.want {
			t.Errorf("an answer %s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// scripted answers requests in turn.
type scripted struct {
	mu    sync.Mutex
	turns []http.HandlerFunc
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	turn := s.turns[0]
	if len(s.turns) > 1 {
		s.turns = s.turns[1:]
	}
	s.mu.Unlock()
	turn(w, r)
}

func echo(task string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(standin.EchoBody(task, data, 100))
	}
}

func refuse(p *problem.Problem) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { problem.Write(w, p) }
}

// A host answers one request well, refuses one, leaves one open, breaks off in
// the middle of one and answers the next with the run of the first. Each must
// be counted for what it is, and none sent twice.
func TestRunCountsEveryEnd(t *testing.T) {
	host := httptest.NewServer(&scripted{turns: []http.HandlerFunc{
		echo("z.h.1.1"),
		refuse(problem.NotRun(problem.TypeBusy, "")),
		refuse(problem.Unknown(problem.TypeUpstream, "")),
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("task "))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		echo("z.h.1.1"),
	}})
	defer host.Close()
	g := newTestGenerator(t, host)
	for n := range uint64(6) {
		op := operation{number: n, kind: KindApproval, host: g.opts.Hosts[0], key: "k", due: time.Now()}
		g.rec.done(op.kind, g.request(context.Background(), op), g.opts.Deadline)
	}
	got := g.rec.kinds[KindApproval]
	got.Examples = nil
	want := &KindReport{
		Ran:     1,
		Failed:  map[string]int{},
		NotRun:  map[string]int{string(problem.TypeBusy): 1},
		Unknown: map[string]int{string(problem.TypeUpstream): 1, reasonCutAnswer: 1, reasonNoAnswer: 1},
		Wrong:   map[string]int{string(faultRepeated): 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func newTestGenerator(t *testing.T, host *httptest.Server) *generator {
	t.Helper()
	mix, err := MixByName("rosenau")
	if err != nil {
		t.Fatal(err)
	}
	opts := Options{
		Hosts: []string{host.Listener.Addr().String()}, Keys: []string{"k"}, Mix: mix, Rate: 100, Time: time.Second,
		Deadline: time.Minute, JobDeadline: time.Minute, Body: 128, InFlight: 8, Connections: 8, Seed: 1,
	}
	if err := opts.Check(); err != nil {
		t.Fatal(err)
	}
	g := &generator{opts: opts, client: newClient(opts), rec: newRecorder(), checker: newChecker(), slots: make(chan struct{}, 8)}
	t.Cleanup(g.client.CloseIdleConnections)
	return g
}

// The host is slow and every operation at once is in use. Arrivals go on at
// their rate: those without room are counted as not sent, and nothing waits.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	release := make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		problem.Write(w, problem.NotRun(problem.TypeBusy, ""))
	}))
	defer host.Close()
	g := newTestGenerator(t, host)
	g.opts.Rate, g.opts.Time, g.opts.InFlight = 2000, 100*time.Millisecond, cap(g.slots)
	g.opts.Mix.Weights = map[Kind]int{KindRead: 1}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.arrive(context.Background())
	}()
	for g.unsent() == 0 {
		select {
		case <-done:
			t.Fatal("the arrivals ended with all of them sent")
		default:
			runtime.Gosched()
		}
	}
	close(release)
	<-done
	got := g.rec.kinds[KindRead]
	if got.Offered != got.Unsent+total(got.NotRun) {
		t.Errorf("of %d offered, %d were not sent and %d answered", got.Offered, got.Unsent, total(got.NotRun))
	}
}

func (g *generator) unsent() int {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.kinds[KindRead].Unsent
}
