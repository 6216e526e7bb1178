// Package lifeconn is an HTTP/1.1 client pool in which each connection is bound to one
// incarnation (one "life") of a server process.
//
// It guards against a call that gets no response and is executed seconds later by the
// process's next incarnation at the same address, which has no state from before. A call is
// sent only on a connection on which the intended incarnation has answered a handshake. When
// a process exits, its connections close, and calls still in transit on them, wherever they
// are delayed, are lost with them. The guarantee holds as long as no intermediary opens a new
// connection for bytes that it received on a connection that was answered before.
//
// A call has its connection to itself and runs in the goroutine of its caller: at thousands
// of calls per second to hundreds of processes, a transport with goroutines per connection
// costs several times as much (BenchmarkCallWorker of package platform).
package lifeconn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/linkstats"
)

const (
	// maxIdleConns is the number of idle connections kept per incarnation.
	maxIdleConns = 4
	// idleTimeout is how long an idle connection is kept, and what is known of an incarnation
	// that is not called.
	idleTimeout = 30 * time.Second
	// maxUncheckedIdle is how long after its last call a connection is reused without
	// checking whether the peer has closed it.
	maxUncheckedIdle = 20 * time.Millisecond
	// sweepInterval is the minimum time between two searches for expired idle connections.
	sweepInterval = time.Second
)

// Incarnation identifies one incarnation of a process: its id, its IP:port and its start time.
type Incarnation struct {
	ID, Address string
	Born        int64
}

// Call is one HTTP call.
type Call struct {
	Kind    string // label of the traffic counters, see package linkstats
	Request []byte // the complete HTTP/1.1 request, header and body
	// Timeout bounds the exchange, measured from when a connection is available.
	Timeout time.Duration
}

// Handshake is the first call on a new connection, whose response identifies the
// incarnation. It must be harmless when another incarnation executes it.
type Handshake struct {
	Call
	// Check returns an error if the response is not from the intended incarnation. After
	// an error that wraps ErrUnverified, which leaves the incarnation undetermined, the
	// handshake is repeated on another connection.
	Check func(Response) error
}

// ErrUnverified marks failed handshakes that leave the incarnation undetermined.
var ErrUnverified = errors.New("the response does not identify the incarnation")

// NotSentError reports a call of which no byte was sent, and which therefore was not and
// will not be executed. Its cause may be the error returned by Handshake.Check.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BusyError reports that the limit of concurrent calls to one incarnation is reached.
type BusyError struct{ Calls int }

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("%d calls are already in flight", e.Calls) }

// Pool makes calls and keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	dial     linkstats.Dial
	maxCalls int // concurrent calls to one incarnation

	mu            sync.Mutex
	meanHandshake time.Duration // running mean of dial and handshake, over all incarnations
	conns         map[Incarnation]*connSet
	sweptAt       time.Time
}

// connSet holds the connections to one incarnation.
type connSet struct {
	idle       []*persistConn // least recently used first
	inFlight   int
	usedAt     time.Time // end of the newest call
	handshakes handshakeEstimate
}

// NewPool returns a pool that opens connections with dial and makes at most maxCalls
// concurrent calls to one incarnation.
func NewPool(dial linkstats.Dial, maxCalls int) *Pool {
	return &Pool{dial: dial, maxCalls: maxCalls, conns: make(map[Incarnation]*connSet)}
}

// Do makes a call. A *NotSentError means that the call was not and will not be executed;
// after any other error it may have been executed, or may still be. With such an error, the
// response is that of the handshake if a connection was opened for the call.
func (p *Pool) Do(ctx context.Context, inc Incarnation, c Call, hs Handshake) (Response, error) {
	l, err := p.acquire(inc)
	if err != nil {
		return Response{}, &NotSentError{Cause: err}
	}
	var handshake Response
	if l == nil {
		if l, handshake, err = p.connect(ctx, inc, hs); err != nil {
			p.release(inc, nil)
			return Response{}, &NotSentError{Cause: err}
		}
	}
	resp, err := p.callOn(ctx, inc, l, c)
	if err != nil {
		return handshake, err
	}
	return resp, nil
}

// DoHandshake makes the handshake call for its response: on an idle connection if there is
// one, otherwise as the handshake of a new connection. The failure of the latter is a
// *NotSentError, although the handshake itself may have been sent.
func (p *Pool) DoHandshake(ctx context.Context, inc Incarnation, hs Handshake) (Response, error) {
	l, err := p.acquire(inc)
	if err != nil {
		return Response{}, &NotSentError{Cause: err}
	}
	if l != nil {
		return p.callOn(ctx, inc, l, hs.Call)
	}
	l, resp, err := p.connect(ctx, inc, hs)
	p.release(inc, l)
	if err != nil {
		return Response{}, &NotSentError{Cause: err}
	}
	return resp, nil
}

// callOn makes a call on a connection, and then releases or closes it.
func (p *Pool) callOn(ctx context.Context, inc Incarnation, l *persistConn, c Call) (Response, error) {
	resp, err := l.exchange(ctx, time.Now().Add(c.Timeout), c)
	if err != nil || resp.closeConn {
		_ = l.conn.Close() // the call's error is returned
		p.release(inc, nil)
		return resp, err
	}
	p.release(inc, l)
	return resp, nil
}

// acquire reserves a call slot and returns an idle connection, or nil if the caller has to
// open one. Every successful acquire is followed by a release.
func (p *Pool) acquire(inc Incarnation) (*persistConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	set, known := p.conns[inc]
	if !known {
		set = &connSet{}
		p.conns[inc] = set
	}
	if set.inFlight >= p.maxCalls {
		return nil, &BusyError{Calls: set.inFlight}
	}
	set.inFlight++
	for n := len(set.idle); n > 0; n = len(set.idle) {
		l := set.idle[n-1]
		set.idle = set.idle[:n-1]
		if time.Since(l.usedAt) < maxUncheckedIdle || !l.unusable() {
			return l, nil
		}
		_ = l.conn.Close() // closed by the peer
	}
	return nil, nil
}

// release frees the call slot and keeps the connection, if l is not nil, for reuse.
func (p *Pool) release(inc Incarnation, l *persistConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set, known := p.conns[inc]
	if !known {
		set = &connSet{inFlight: 1}
		p.conns[inc] = set
	}
	set.inFlight--
	set.usedAt = time.Now()
	switch {
	case l == nil:
	case len(set.idle) >= maxIdleConns:
		_ = l.conn.Close() // unused
	default:
		l.usedAt = set.usedAt
		set.idle = append(set.idle, l)
	}
}

// sweep closes connections that have been idle for longer than idleTimeout, and forgets
// incarnations that were not called for as long. The caller holds p.mu.
func (p *Pool) sweep() {
	if time.Since(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = time.Now()
	for inc, set := range p.conns {
		for len(set.idle) > 0 && time.Since(set.idle[0].usedAt) > idleTimeout {
			_ = set.idle[0].conn.Close() // unused
			set.idle = set.idle[1:]
		}
		if set.inFlight == 0 && len(set.idle) == 0 && time.Since(set.usedAt) > idleTimeout {
			delete(p.conns, inc)
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for inc, set := range p.conns {
		for _, l := range set.idle {
			_ = l.conn.Close() // unused
		}
		set.idle = nil
		if set.inFlight == 0 {
			delete(p.conns, inc)
		}
	}
}
