package linkstats

import (
	"context"
	"net"
	"net/http"
)

// servedPrefix is prepended to the kinds of calls that this process serves.
const servedPrefix = "served_"

// Listener wraps l to count the bytes of its connections.
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
	return l.meter.wrap(inner), nil
}

type connKey struct{}

// ConnContext is for the ConnContext field of an http.Server. It lets Server find the
// connection of a call.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Server wraps next to count its calls as served_ plus kind; an empty kind stands for the
// last element of each call's path. The connections must be accepted by Listener, and the
// http.Server must use ConnContext.
func (m *Meter) Server(kind string, next http.Handler) http.Handler {
	if m == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callKind := kind
		if callKind == "" {
			callKind = kindOf(r.URL.Path)
		}
		c := m.countersFor(servedPrefix + callKind)
		c.calls.Inc(1)
		if cc, ok := r.Context().Value(connKey{}).(*conn); ok {
			// A response may be written to its connection after its handler has returned:
			// bytes sent until now belong to the previous call.
			cc.flush(cc.kind.Load(), c)
			cc.kind.Store(c)
		}
		next.ServeHTTP(w, r)
	})
}
