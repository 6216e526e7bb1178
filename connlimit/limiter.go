// Package connlimit bounds what the clients of an HTTP server hold of its process: open
// connections, and the memory of requests that are not answered yet.
//
// Where a bound is reached, the connection that has waited for its client the longest gives way: it
// is idle, or its request has not come to its end. A request that was received whole is always
// answered, so that clients which keep connections and requests open cannot keep others out. A client
// that sends without delay keeps its connection, and the others wait for a moment.
package connlimit

import (
	"container/list"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Options are the bounds of a Limiter.
type Options struct {
	// MaxConns bounds the open connections; at least 1. Up to maxClosing more are being closed.
	MaxConns int
	// MaxBytes bounds the memory of requests that are not answered yet, in bytes. A request that
	// exceeds it is served if no other takes up memory.
	MaxBytes int64
	// MaxHeadBytes returns the bound of the head of a request in bytes. nil leaves it to the server.
	MaxHeadBytes func() int
	// ReceiveBuffer is the size of the kernel's receive buffer of each connection in bytes; 0 leaves
	// it to the kernel.
	ReceiveBuffer int
	// BodyReceiveBuffer is the same while a body is received; 0 for no other size.
	BodyReceiveBuffer int
	// BodyTimeout bounds the time from the end of a head to the end of its body, and WriteTimeout
	// each write to a connection. 0 leaves them to the server.
	BodyTimeout, WriteTimeout time.Duration
}

// maxClosing bounds the connections that were evicted and are not closed yet.
const maxClosing = 64

// Limiter applies its bounds to the connections of its listeners. It counts connections that gave
// way and requests that found no memory as connections_evicted and requests_over_memory. It is safe
// for concurrent use.
type Limiter struct {
	opts                  Options
	evictions, overMemory tally.Counter

	mu      sync.Mutex
	changed *sync.Cond // a connection was closed, evicted, or has released memory
	open    int        // connections
	closing int        // evicted ones among them
	bytes   int64      // charged to all connections
	freeing int64      // charged to evicted connections
	waiting list.List  // connections that wait for their client (*conn), the longest first
}

// New returns a limiter that counts in scope.
func New(opts Options, scope tally.Scope) *Limiter {
	l := &Limiter{opts: opts, evictions: scope.Counter("connections_evicted"), overMemory: scope.Counter("requests_over_memory")}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// EvictedError reports that a connection gave way to others before its request was received whole.
type EvictedError struct{}

// Error implements error.
func (*EvictedError) Error() string { return "the connection gave way to others" }

// Timeout implements net.Error. An HTTP server closes a connection without an answer after a timeout.
func (*EvictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*EvictedError) Temporary() bool { return false }

// MemoryError reports that other requests that are served take up the memory.
type MemoryError struct {
	Bytes int64 // that were asked for
}

// Error implements error.
func (*MemoryError) Error() string { return "requests take up the memory that they may take" }

// Timeout implements net.Error, as for EvictedError.
func (*MemoryError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*MemoryError) Temporary() bool { return true }

// admit waits until a connection may be opened, and counts it as open. It reports false if the
// listener is closed meanwhile.
func (l *Limiter) admit(c *conn, closed *bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open-l.closing >= l.opts.MaxConns || l.closing > maxClosing {
		if *closed {
			return false
		}
		victim := l.oldest(func(*conn) bool { return true })
		if victim == nil || l.closing > maxClosing {
			l.waitForChange()
			continue
		}
		l.evict(victim)
	}
	l.open++
	l.wait(c)
	return true
}

// checkInterval is how often a connection that waits for others checks whether one can give way by now.
const checkInterval = 20 * time.Millisecond

// waitForChange returns after a change, or after checkInterval.
func (l *Limiter) waitForChange() {
	timer := time.AfterFunc(checkInterval, l.changed.Broadcast)
	defer timer.Stop()
	l.changed.Wait()
}

// oldest returns the connection that has waited for its client the longest of those that match and
// may give way, or nil.
func (l *Limiter) oldest(matches func(*conn) bool) *conn {
	now := time.Now()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.mayGiveWay(now) && matches(c) {
			return c
		}
	}
	return nil
}

// wait notes that a connection waits for its client from now on.
func (l *Limiter) wait(c *conn) {
	l.stopWaiting(c)
	c.waitsSince = time.Now()
	c.element = l.waiting.PushBack(c)
}

func (l *Limiter) stopWaiting(c *conn) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// evict ends the reads of a connection, so that the server closes it, and its writes if its client
// does not take the answer.
func (l *Limiter) evict(c *conn) {
	l.stopWaiting(c)
	c.evicted = true
	l.closing++
	l.freeing += c.charged
	l.evictions.Inc(1)
	l.changed.Broadcast()
	if c.lingering {
		_ = c.Conn.Close() // the server closes it again, and counts it then
		return
	}
	_ = c.Conn.SetReadDeadline(longAgo) // fails only on a closed connection
	if c.phase == answering {
		_ = c.Conn.SetWriteDeadline(longAgo)
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// keep takes an eviction back: the head of a request without a body was complete before.
func (l *Limiter) keep(c *conn) {
	c.evicted = false
	l.closing--
	l.freeing -= c.charged
	_ = c.Conn.SetDeadline(time.Time{}) // fails only on a closed connection
}

// charge adds n bytes to what a connection takes up. If that exceeds the bound, the oldest requests
// that are not complete give way first, and charge waits until they have. It returns an
// *EvictedError if the connection itself gives way, and a *MemoryError to a request that is served
// if none is left that can.
func (l *Limiter) charge(c *conn, n int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bytes+n > l.opts.MaxBytes && l.bytes != c.charged {
		if c.evicted {
			return &EvictedError{}
		}
		if l.bytes-l.freeing+n <= l.opts.MaxBytes {
			l.waitForChange()
			continue
		}
		if victim := l.oldest(func(v *conn) bool { return v.charged > 0 || v == c }); victim != nil {
			l.evict(victim)
			continue
		}
		if c.phase == serving && !l.anyCharged() {
			l.overMemory.Inc(1)
			return &MemoryError{Bytes: n}
		}
		l.waitForChange()
	}
	c.charged += n
	l.bytes += n
	if c.evicted {
		l.freeing += n
	}
	return nil
}

// anyCharged reports whether a request that is not complete takes up memory.
func (l *Limiter) anyCharged() bool {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*conn).charged > 0 {
			return true
		}
	}
	return l.freeing > 0
}

// release takes back all that a connection was charged, but for the given rest.
func (l *Limiter) release(c *conn, rest int64) {
	rest = min(rest, c.charged)
	freed := c.charged - rest
	l.bytes -= freed
	if c.evicted {
		l.freeing -= freed
	}
	c.charged = rest
	l.changed.Broadcast()
}

// forget removes a connection that was closed.
func (l *Limiter) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopWaiting(c)
	l.release(c, 0)
	l.open--
	if c.evicted {
		l.closing--
	}
	l.changed.Broadcast()
}
