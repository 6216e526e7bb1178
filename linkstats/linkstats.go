// Package linkstats counts the bytes that a process sends and receives over HTTP, by
// kind of call. It counts what passes the sockets, headers included; what TCP and IP add
// to it, some 40 bytes a packet, is not part of the figures.
package linkstats

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"path"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/uber-go/tally/v4"
)

const (
	// kindConnect is the kind of what passes a connection before its first call.
	kindConnect = "connect"
	// kindOther is the kind of calls whose path says nothing.
	kindOther = "other"
	// maxKinds bounds the kinds that are counted apart. Paths of callers are not
	// ours to choose, so that there is no bound to them otherwise.
	maxKinds = 64
)

// Meter counts bytes. Its counters are sent_bytes_total, received_bytes_total and
// calls_total, tagged with kind. Bytes of a call show once its connection is used again
// or ends. A Meter is safe for concurrent use; a nil one counts nothing.
type Meter struct {
	scope tally.Scope
	fresh *counters // of connections without a call

	mu    sync.Mutex
	kinds map[string]*counters

	sent     atomic.Int64
	received atomic.Int64
}

type counters struct{ sent, received, calls tally.Counter }

// New returns a meter whose counters are in scope.
func New(scope tally.Scope) *Meter {
	m := &Meter{scope: scope, kinds: make(map[string]*counters)}
	m.fresh = m.of(kindConnect)
	return m
}

// Sent returns how many bytes have been sent so far, over all kinds.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns how many bytes have been received so far, over all kinds.
func (m *Meter) Received() int64 { return m.received.Load() }

func (m *Meter) of(kind string) *counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.kinds[kind]
	if !known && len(m.kinds) >= maxKinds {
		kind = kindOther
		c, known = m.kinds[kind]
	}
	if !known {
		scope := m.scope.Tagged(map[string]string{"kind": kind})
		c = &counters{
			sent: scope.Counter("sent_bytes_total"), received: scope.Counter("received_bytes_total"), calls: scope.Counter("calls_total"),
		}
		m.kinds[kind] = c
	}
	return c
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter    *Meter
	kind     atomic.Pointer[counters] // of the newest call on it
	sent     atomic.Int64             // of that call so far
	received atomic.Int64
}

func (m *Meter) counted(inner net.Conn) *conn {
	c := &conn{Conn: inner, meter: m}
	c.kind.Store(m.fresh)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	c.meter.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.settle(c.kind.Load(), c.kind.Load())
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// settle attributes what has passed since the last time.
func (c *conn) settle(sent, received *counters) {
	if n := c.sent.Swap(0); n > 0 {
		sent.sent.Inc(n)
	}
	if n := c.received.Swap(0); n > 0 {
		received.received.Inc(n)
	}
}

// Begin tells that a call of that kind begins on a connection from Dialer: what passes
// from now on belongs to it. Other connections are left alone.
func Begin(c net.Conn, kind string) {
	counted, ok := c.(*conn)
	if !ok {
		return
	}
	before, next := counted.kind.Load(), counted.meter.of(kind)
	counted.settle(before, before)
	counted.kind.Store(next)
	next.calls.Inc(1)
}

// Dial makes connections.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns dial with connections that are counted.
func (m *Meter) Dialer(dial Dial) Dial {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.counted(inner), nil
	}
}

// Client returns next with its calls counted by kind, which is the last element of their
// path. Its connections have to come from Dialer.
func (m *Meter) Client(next http.RoundTripper) http.RoundTripper {
	if m == nil {
		return next
	}
	return &client{next: next}
}

type client struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c *client) RoundTrip(req *http.Request) (*http.Response, error) {
	kind := kindOf(req.URL.Path)
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { Begin(got.Conn, kind) },
	})
	return c.next.RoundTrip(req.WithContext(ctx))
}

// CloseIdleConnections closes the connections that no call uses.
func (c *client) CloseIdleConnections() {
	if t, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

func kindOf(p string) string {
	kind := path.Base(p)
	if kind == "." || kind == "/" {
		return kindOther
	}
	return kind
}
