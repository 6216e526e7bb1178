package lifeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var request = []byte("POST /call HTTP/1.1\r\nHost: i-1\r\nContent-Length: 0\r\n\r\n")

var errOtherLife = errors.New("another life answered")

func otherLife(err error) bool { return notSent(err) && errors.Is(err, errOtherLife) }

func notSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// bornAt is the proof of the life that answers with the time of its birth.
func bornAt(born int64) Proof {
	return Proof{
		Call: Call{Request: []byte("POST /look HTTP/1.1\r\nHost: i-1\r\nContent-Length: 0\r\n\r\n"), Timeout: time.Second},
		Check: func(ans Answer) error {
			if string(ans.Body) != strconv.FormatInt(born, 10) {
				return errOtherLife
			}
			return nil
		},
	}
}

// dials hands out connections in memory. The worker answers a look only on those from
// the one numbered answersFrom on, counted from 1, as the life born at born.
type dials struct {
	mu          sync.Mutex
	n           int
	answersFrom int
	born        int64
	open        []net.Conn // of the worker's side
	calls       atomic.Int32
}

func (d *dials) dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n++
	ours, theirs := net.Pipe()
	d.open = append(d.open, theirs)
	answers := d.n >= d.answersFrom
	go func() {
		in := bufio.NewReader(theirs)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil || !answers {
				return
			}
			if req.URL.Path == "/call" {
				d.calls.Add(1)
			}
			body := strconv.FormatInt(d.born, 10)
			_, _ = fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) // a caller that left is told nothing
		}
	}()
	return ours, nil
}

// A sound worker loses the first look over a new connection, as a third of all answers
// may get lost. The start that waits for the connection must not be lost with it: each
// would cost its task the time of a whole call. The look is made again on another one.
// Where none is answered, the start was certainly not sent; where another life answers,
// there is nothing to be tried again.
func TestProofs(t *testing.T) {
	for name, c := range map[string]struct {
		answersFrom int
		born        int64
		dials       int // connections that are made
		check       func(error) bool
	}{
		"answered at once":    {1, 7, 1, func(err error) bool { return err == nil }},
		"first answer lost":   {2, 7, 2, func(err error) bool { return err == nil }},
		"no answer":           {100, 7, proofTries, func(err error) bool { return notSent(err) && !otherLife(err) }},
		"another life":        {1, 8, 1, otherLife},
		"another life, later": {2, 8, 2, otherLife},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &dials{answersFrom: c.answersFrom, born: c.born}
				p := NewPool(d.dial, 4)
				_, err := p.Do(t.Context(), Life{ID: "i-1", Address: "10.0.0.1:1", Born: 7}, Call{Request: request, Timeout: time.Second}, bornAt(7))
				if !c.check(err) || d.n != c.dials {
					t.Errorf("%d connections, want %d; error %v", d.n, c.dials, err)
				}
				if sent := d.calls.Load() > 0; sent != (err == nil) {
					t.Errorf("call sent: %v, with error %v", sent, err)
				}
				p.CloseIdle()
				for _, o := range d.open {
					_ = o.Close()
				}
			})
		})
	}
}

// answers makes the calls of a process over one pool and returns the answers, from a server
// that answers each connection with the bytes given, one entry for each call.
func answers(t *testing.T, calls int, script ...string) []Answer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for _, text := range script {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if _, err := io.WriteString(conn, text); err != nil || strings.HasPrefix(text, "HTTP/1.0") {
						return
					}
				}
			}()
		}
	}()
	p := NewPool((&net.Dialer{}).DialContext, 4)
	defer p.CloseIdle()
	var out []Answer
	proof := bornAt(1)
	proof.Check = func(Answer) error { return nil }
	for range calls {
		ans, err := p.Do(context.Background(), Life{Address: l.Addr().String()}, Call{Request: request, Timeout: 5 * time.Second}, proof)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, ans)
	}
	return out
}

// Answers come in each of the forms that HTTP/1.1 has for a body, and after interim ones.
func TestFormsOfAnswers(t *testing.T) {
	const proof = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"length":       {"HTTP/1.1 200 OK\r\nContent-Type: x\r\ncontent-length:  3\r\n\r\nabc", 200, "abc"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, "abc"},
		"to the end":   {"HTTP/1.0 409 Conflict\r\n\r\nabc", 409, "abc"},
		"interim":      {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, ""},
		"without body": {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, ans := range answers(t, 2, proof, c.text, c.text) {
				if ans.Status != c.status || string(ans.Body) != c.body {
					t.Errorf("status %d, body %q", ans.Status, ans.Body)
				}
			}
		})
	}
}

// A process ends a connection while nobody uses it. The next call must not go out on it: it
// would come back without an answer, as one that may have been carried out.
func TestConnectionThatEndedIsNotUsed(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	p := NewPool((&net.Dialer{}).DialContext, 4)
	defer p.CloseIdle()
	proof := bornAt(1)
	proof.Check = func(Answer) error { return nil }
	life := Life{Address: strings.TrimPrefix(s.URL, "http://")}
	for range 20 {
		if _, err := p.Do(context.Background(), life, Call{Request: request, Timeout: 5 * time.Second}, proof); err != nil {
			t.Fatal(err)
		}
		s.CloseClientConnections()
		p.mu.Lock()
		for _, l := range p.lives[life].idle {
			l.usedAt = time.Time{}
			for !l.ended() {
				runtime.Gosched() // the end is on its way
			}
		}
		p.mu.Unlock()
	}
}

// A process that no longer answers holds up each call until its time is over. There are
// never more of them than the bound, and none of the refused ones was sent.
func TestCallsToOneLifeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dials{answersFrom: 100}
		p := NewPool(d.dial, 2)
		ended := make(chan error)
		for range 3 {
			go func() {
				_, err := p.Do(t.Context(), Life{}, Call{Request: request, Timeout: time.Second}, bornAt(7))
				ended <- err
			}()
		}
		var busy *BusyError
		if err := <-ended; !errors.As(err, &busy) || !notSent(err) {
			t.Errorf("error %v, want that too many calls are under way", err)
		}
		for range 2 {
			if err := <-ended; errors.As(err, &busy) {
				t.Errorf("error %v within the bound", err)
			}
		}
		for _, o := range d.open {
			_ = o.Close()
		}
	})
}

// FuzzAnswer: whatever a process sends, reading it ends, with an answer or an error.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 409 Conflict\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		l := &link{in: bufio.NewReaderSize(strings.NewReader(string(text)), readBuffer)}
		if ans, err := l.read(); err == nil && (ans.Status < 200 || ans.Status > 999) {
			t.Errorf("status %d", ans.Status)
		}
	})
}
