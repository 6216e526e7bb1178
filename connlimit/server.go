package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener at an address IP:port whose connections are bounded.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: l.setReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, limiter: l}, nil
}

// setReceiveBuffer sets the receive buffer of a listening socket, which its connections inherit.
func (l *Limiter) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if l.opts.ReceiveBuffer == 0 {
		return nil
	}
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, l.opts.ReceiveBuffer)
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}

type listener struct {
	net.Listener
	limiter *Limiter
	closed  bool // guarded by the mutex of the limiter
}

// Accept implements net.Listener. It waits while there are as many connections as there may be.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, limiter: l.limiter}
		if l.limiter.admit(c, &l.closed) {
			return c, nil
		}
		_ = inner.Close() // it was never used
	}
}

// Close implements net.Listener. It ends the wait of Accept: http.Server.Shutdown waits for that.
func (l *listener) Close() error {
	l.limiter.mu.Lock()
	l.closed = true
	l.limiter.changed.Broadcast()
	l.limiter.mu.Unlock()
	return l.Listener.Close()
}

type connKey struct{}

// Attach sets the fields of a server that a limiter needs to follow its connections, and wraps its
// handler. The server may not have a ConnState of its own.
func (l *Limiter) Attach(s *http.Server) {
	outer := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, limited(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited := limited(c); limited != nil && state == http.StateIdle {
			limited.rest()
		}
	}
	s.Handler = l.handler(s.Handler)
}

// limited returns the limiter's connection below wrappers that have a method NetConn, or nil.
func limited(c net.Conn) *conn {
	for {
		if found, ok := c.(*conn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// handler tells the connection of each request when next begins and ends with it.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0 && r.ProtoMajor == 1
		if c.begin(hasBody) {
			w.Header().Set("Connection", "close")
		}
		defer c.end()
		if hasBody {
			// The server looks at the body of its own request to see whether the client waits to send it.
			r = r.WithContext(r.Context())
			r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// bodyReader notes the end of a body.
type bodyReader struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.complete()
	}
	return n, err
}

// Charge adds n bytes to the memory of the request with the context ctx until it is answered. It
// returns a *MemoryError if the requests that are served take up the memory, and nil for a
// request of another server.
func Charge(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.limiter.charge(c, n)
}
