package linkstats

import (
	"context"
	"net"
	"net/http"
)

// servedPrefix marks the kinds of calls that this process answers.
const servedPrefix = "served_"

// Listener returns l with connections that are counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return &listener{Listener: l, meter: m}
}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.counted(inner), nil
}

type connKey struct{}

// ConnContext is the hook of an http.Server that lets Server find the connection of
// a call.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Server returns next with its calls counted as served_kind, where an empty kind stands
// for the last element of each call's path. Its connections have to come from Listener,
// and its server needs ConnContext.
func (m *Meter) Server(kind string, next http.Handler) http.Handler {
	if m == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		of := kind
		if of == "" {
			of = kindOf(r.URL.Path)
		}
		c := m.of(servedPrefix + of)
		c.calls.Inc(1)
		if on, ok := r.Context().Value(connKey{}).(*conn); ok {
			// An answer leaves its connection after its handler has returned, so that what
			// was sent until now belongs to the call before.
			on.settle(on.kind.Load(), c)
			on.kind.Store(c)
		}
		next.ServeHTTP(w, r)
	})
}
