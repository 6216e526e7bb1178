// Package linkstats counts the bytes that a process sends and receives over HTTP, by
// kind of call. It counts the bytes read from and written to sockets, HTTP headers
// included; TCP and IP headers, some 40 bytes per packet, are not counted.
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
	// kindConnect is the kind of bytes that pass a connection before its first call.
	kindConnect = "connect"
	// kindOther is the kind of calls with an empty path and of kinds above maxKinds.
	kindOther = "other"
	// maxKinds bounds the kinds that have counters. Callers choose the paths of their
	// requests freely, and without a bound each new path would add counters.
	maxKinds = 64
)

// Meter counts bytes. Its counters are sent_bytes_total, received_bytes_total and
// calls_total, tagged with kind. The bytes of a call are added to its kind's counters
// when its connection is used again or closed. A Meter is safe for concurrent use; a nil
// one counts nothing.
type Meter struct {
	scope   tally.Scope
	connect *counters // of connections before their first call

	mu    sync.Mutex
	kinds map[string]*counters

	sent     atomic.Int64
	received atomic.Int64
}

type counters struct{ sent, received, calls tally.Counter }

// New returns a meter that reports to scope.
func New(scope tally.Scope) *Meter {
	m := &Meter{scope: scope, kinds: make(map[string]*counters)}
	m.connect = m.countersFor(kindConnect)
	return m
}

// Sent returns the number of bytes sent so far, over all kinds.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the number of bytes received so far, over all kinds.
func (m *Meter) Received() int64 { return m.received.Load() }

func (m *Meter) countersFor(kind string) *counters {
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

// conn is a net.Conn whose bytes are counted.
type conn struct {
	net.Conn
	meter    *Meter
	kind     atomic.Pointer[counters] // of the latest call on it
	sent     atomic.Int64             // since the last flush
	received atomic.Int64
}

func (m *Meter) wrap(inner net.Conn) *conn {
	c := &conn{Conn: inner, meter: m}
	c.kind.Store(m.connect)
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
	c.flush(c.kind.Load(), c.kind.Load())
	return c.Conn.Close()
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the host's half of the connection. An http.Server looks for it before it closes a
// connection on which the client still sends: the client would lose the answer to a reset.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// flush adds the bytes since the last flush to the counters of the given kinds.
func (c *conn) flush(sent, received *counters) {
	if n := c.sent.Swap(0); n > 0 {
		sent.sent.Inc(n)
	}
	if n := c.received.Swap(0); n > 0 {
		received.received.Inc(n)
	}
}

// BeginCall counts a call of a kind on a connection made by Dialer, and attributes the
// connection's bytes from now on to that kind. It ignores other connections.
func BeginCall(c net.Conn, kind string) {
	cc, ok := c.(*conn)
	if !ok {
		return
	}
	prev, next := cc.kind.Load(), cc.meter.countersFor(kind)
	cc.flush(prev, prev)
	cc.kind.Store(next)
	next.calls.Inc(1)
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps dial to count the bytes of its connections.
func (m *Meter) Dialer(dial Dial) Dial {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.wrap(inner), nil
	}
}

// Client wraps next to count its calls by kind, which is the last element of their path.
// The connections of next must be made by Dialer.
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
		GotConn: func(got httptrace.GotConnInfo) { BeginCall(got.Conn, kind) },
	})
	return c.next.RoundTrip(req.WithContext(ctx))
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
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
