package lifeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stalledConn is a connection whose reader stands still before its first reads, until the whole
// response has arrived and the deadline has passed.
type stalledConn struct {
	*net.TCPConn
	size    int // of the response in bytes
	stalls  int // how many reads it stands still before
	onStall func()
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if c.stalls > 0 {
		c.stalls--
		for c.arrived() < c.size {
			runtime.Gosched()
		}
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			return 0, err
		}
		c.onStall()
	}
	return c.TCPConn.Read(b)
}

func (c *stalledConn) arrived() int {
	raw, err := c.SyscallConn()
	if err != nil {
		panic(err) // a TCP connection has one
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, c.size), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n
}

// exchangeAfterStall makes a call to a server that sends text as its response, on a connection whose
// reader stands still meanwhile, before that many reads. Its deadline may be moved by extension.
func exchangeAfterStall(t *testing.T, ctx context.Context, text string, stalls int, extension time.Duration, onStall func()) (*persistConn, Response, error) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, text) // the caller may have closed its end
		}
	}()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	l := newPersistConn(&stalledConn{TCPConn: conn.(*net.TCPConn), size: len(text), stalls: stalls, onStall: onStall})
	l.incoming.extension = extension
	resp, err := l.exchange(ctx, time.Now().Add(time.Minute), Call{Request: request})
	return l, resp, err
}

// Guards against a response that is not taken in although it came in time: this process stood still,
// and the deadline had passed when it went on.
func TestResponseThatArrivedDuringStallIsRead(t *testing.T) {
	for _, size := range []int{1, 20 * readBuffer} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			body := strings.Repeat("x", size)
			l, resp, err := exchangeAfterStall(t, t.Context(), fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body), 1, time.Minute, func() {})
			if err != nil || string(resp.Body) != body {
				t.Fatalf("%d bytes of %d, error %v", len(resp.Body), size, err)
			}
			if resp, err = l.exchange(t.Context(), time.Now().Add(time.Minute), Call{Request: request}); err != nil || len(resp.Body) != size {
				t.Errorf("the next call: %d bytes, error %v", len(resp.Body), err)
			}
		})
	}
}

// Guards against a call that outlives its deadline, because a part of its response has arrived or
// because this process stands still again and again, and against one that outlives its context.
func TestStalledCallEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	ctx, cancel := context.WithCancel(t.Context())
	for name, c := range map[string]struct {
		ctx     context.Context
		text    string
		stalls  int
		onStall func()
	}{
		"a part of a response":  {t.Context(), head + "a", 1, func() {}},
		"stalls without end":    {t.Context(), head + "abc", 1000, func() {}},
		"its context has ended": {ctx, head + "abc", 1, cancel},
	} {
		t.Run(name, func(t *testing.T) {
			if _, resp, err := exchangeAfterStall(t, c.ctx, c.text, c.stalls, lateReadTime, c.onStall); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%+v, error %v", resp, err)
			}
		})
	}
}
