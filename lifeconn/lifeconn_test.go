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

var errOtherIncarnation = errors.New("another incarnation answered")

func otherIncarnation(err error) bool { return notSent(err) && errors.Is(err, errOtherIncarnation) }

func notSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// handshakeFor returns the handshake of the incarnation that answers with this start time.
func handshakeFor(born int64) Handshake {
	return Handshake{
		Call: Call{Request: []byte("POST /look HTTP/1.1\r\nHost: i-1\r\nContent-Length: 0\r\n\r\n"), Timeout: time.Second},
		Check: func(resp Response) error {
			if string(resp.Body) != strconv.FormatInt(born, 10) {
				return errOtherIncarnation
			}
			return nil
		},
	}
}

// fakeWorker is the server side of in-memory connections, which are counted from 1. It
// answers on connections from number answersFrom on, as the incarnation started at born.
type fakeWorker struct {
	mu          sync.Mutex
	dials       int
	answersFrom int
	born        int64
	conns       []net.Conn // the server ends
	calls       atomic.Int32
}

func (d *fakeWorker) dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	ours, theirs := net.Pipe()
	d.conns = append(d.conns, theirs)
	answers := d.dials >= d.answersFrom
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
			_, _ = fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) // the caller may have closed its end
		}
	}()
	return ours, nil
}

// Guards against the loss of a call because the handshake before it got no response, as up
// to a third of all responses may be lost; each lost start call would delay its task by a
// whole call timeout. The handshake is repeated on another connection. If none is answered,
// the call was certainly not sent; if another incarnation answers, nothing is repeated.
func TestHandshakeIsRepeatedAfterLostResponse(t *testing.T) {
	for name, c := range map[string]struct {
		answersFrom int
		born        int64
		dials       int // connections opened
		check       func(error) bool
	}{
		"answered at once":    {1, 7, 1, func(err error) bool { return err == nil }},
		"first answer lost":   {2, 7, 2, func(err error) bool { return err == nil }},
		"no answer":           {100, 7, handshakeAttempts, func(err error) bool { return notSent(err) && !otherIncarnation(err) }},
		"other incarnation":   {1, 8, 1, otherIncarnation},
		"other, after a loss": {2, 8, 2, otherIncarnation},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeWorker{answersFrom: c.answersFrom, born: c.born}
				p := NewPool(d.dial, 4)
				_, err := p.Do(t.Context(), Incarnation{ID: "i-1", Address: "10.0.0.1:1", Born: 7}, Call{Request: request, Timeout: time.Second}, handshakeFor(7))
				if !c.check(err) || d.dials != c.dials {
					t.Errorf("%d connections, want %d; error %v", d.dials, c.dials, err)
				}
				if sent := d.calls.Load() > 0; sent != (err == nil) {
					t.Errorf("call sent: %v, with error %v", sent, err)
				}
				p.CloseIdle()
				for _, o := range d.conns {
					_ = o.Close()
				}
			})
		})
	}
}

// callScriptedServer makes calls through one pool to a server that sends the entries of
// script on each connection, one per request, and returns the responses.
func callScriptedServer(t *testing.T, calls int, script ...string) []Response {
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
	var out []Response
	proof := handshakeFor(1)
	proof.Check = func(Response) error { return nil }
	for range calls {
		resp, err := p.Do(context.Background(), Incarnation{Address: l.Addr().String()}, Call{Request: request, Timeout: 5 * time.Second}, proof)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, resp)
	}
	return out
}

// Responses are read in each form that HTTP/1.1 has for a body, and after interim responses.
func TestReadsAllFormsOfResponseBodies(t *testing.T) {
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
			for _, resp := range callScriptedServer(t, 2, proof, c.text, c.text) {
				if resp.Status != c.status || string(resp.Body) != c.body {
					t.Errorf("status %d, body %q", resp.Status, resp.Body)
				}
			}
		})
	}
}

// Guards against a call on an idle connection that the server has closed: it would fail
// without a response, as a call that may have been executed.
func TestClosedConnectionIsNotReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	p := NewPool((&net.Dialer{}).DialContext, 4)
	defer p.CloseIdle()
	proof := handshakeFor(1)
	proof.Check = func(Response) error { return nil }
	inc := Incarnation{Address: strings.TrimPrefix(s.URL, "http://")}
	for range 20 {
		if _, err := p.Do(context.Background(), inc, Call{Request: request, Timeout: 5 * time.Second}, proof); err != nil {
			t.Fatal(err)
		}
		s.CloseClientConnections()
		p.mu.Lock()
		for _, l := range p.conns[inc].idle {
			l.usedAt = time.Time{}
			for !l.unusable() {
				runtime.Gosched() // the close has not arrived yet
			}
		}
		p.mu.Unlock()
	}
}

// A process that no longer answers delays each call until its timeout. The number of such
// calls stays within the limit, and a call refused because of it was not sent.
func TestCallsPerIncarnationAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeWorker{answersFrom: 100}
		p := NewPool(d.dial, 2)
		ended := make(chan error)
		for range 3 {
			go func() {
				_, err := p.Do(t.Context(), Incarnation{}, Call{Request: request, Timeout: time.Second}, handshakeFor(7))
				ended <- err
			}()
		}
		var busy *BusyError
		if err := <-ended; !errors.As(err, &busy) || !notSent(err) {
			t.Errorf("error %v, want a BusyError", err)
		}
		for range 2 {
			if err := <-ended; errors.As(err, &busy) {
				t.Errorf("error %v within the limit", err)
			}
		}
		for _, o := range d.conns {
			_ = o.Close()
		}
	})
}

// FuzzReadResponse: reading any input ends with a valid response or an error.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 409 Conflict\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		l := &persistConn{in: bufio.NewReaderSize(strings.NewReader(string(text)), readBuffer)}
		if resp, err := l.readResponse(); err == nil && (resp.Status < 200 || resp.Status > 999) {
			t.Errorf("status %d", resp.Status)
		}
	})
}
