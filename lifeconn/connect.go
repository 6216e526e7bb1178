package lifeconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// A connection is opened with up to handshakeAttempts attempts. Each that times out gives
	// the next one twice its time. Their sum bounds how long after Do a call may be sent, which
	// callers count on.
	handshakeAttempts = 3
	// The first attempt has handshakeTimeoutFactor times the mean of all incarnations, and at
	// least ownTimeoutFactor times that of its own (RFC 6298 allows a first sample as much).
	handshakeTimeoutFactor = 8
	ownTimeoutFactor       = 3
	// minHandshakeTimeout and maxHandshakeTimeout bound the time of an attempt: healthy
	// processes nearby answer within milliseconds, but from afar, over a busy link or with a
	// busy processor all responses are late.
	minHandshakeTimeout = 50 * time.Millisecond
	maxHandshakeTimeout = 800 * time.Millisecond
	// maxBackOff is the largest number of doublings that earlier calls leave: with them the
	// last attempt of a call has maxHandshakeTimeout, and the first is still short.
	maxBackOff = 2
	// handshakeMeanWindow is the number of handshakes that the mean of all incarnations covers,
	// and ownMeanWindow that of one incarnation.
	handshakeMeanWindow = 32
	ownMeanWindow       = 8
)

// handshakeEstimate is what is known of how long connections to one incarnation take to open.
//
// It guards against an incarnation that is never reached on a new connection although it answers
// each handshake: where only successes are learned from, a time-out that is too short stays so.
// It is kept for each incarnation, as near, far and silent ones are called side by side.
type handshakeEstimate struct {
	mean    time.Duration // smoothed time of dial and handshake; 0 before the first success
	backOff int           // doublings of the time-out; kept until a handshake is answered
}

// timeout returns the time of the first attempt, given the mean of all incarnations.
func (e handshakeEstimate) timeout(poolMean time.Duration) time.Duration {
	t := max(minHandshakeTimeout, handshakeTimeoutFactor*poolMean, ownTimeoutFactor*e.mean)
	return min(t<<e.backOff, maxHandshakeTimeout)
}

func (e *handshakeEstimate) answered(took time.Duration) {
	e.backOff = 0
	if e.mean == 0 {
		e.mean = took
		return
	}
	e.mean += (took - e.mean) / ownMeanWindow
}

// timedOut records a call of which no attempt was answered in time. Concurrent calls, which began
// with the same back-off, count once.
func (e *handshakeEstimate) timedOut(backOff int) {
	e.backOff = max(e.backOff, min(backOff+1, maxBackOff))
}

// connect opens a connection, completes the handshake on it and returns its response. A
// handshake that leaves the incarnation undetermined is repeated on another connection.
func (p *Pool) connect(ctx context.Context, inc Incarnation, hs Handshake) (*persistConn, Response, error) {
	timeout, backOff := p.handshakeTimeout(inc)
	for attempt := 1; ; attempt++ {
		start := time.Now()
		l, resp, err := p.connectOnce(ctx, inc, hs, start.Add(timeout))
		if err == nil {
			p.handshakeAnswered(inc, time.Since(start))
			return l, resp, nil
		}
		if !errors.Is(err, ErrUnverified) || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return nil, Response{}, err
		}
		late := isTimeout(err)
		if attempt == handshakeAttempts {
			if late {
				p.handshakesTimedOut(inc, backOff)
			}
			return nil, Response{}, err
		}
		if late {
			timeout = min(2*timeout, maxHandshakeTimeout)
		}
	}
}

func (p *Pool) connectOnce(ctx context.Context, inc Incarnation, hs Handshake, deadline time.Time) (*persistConn, Response, error) {
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := p.dial(dialCtx, "tcp", inc.Address)
	if err != nil {
		return nil, Response{}, errors.Mark(err, ErrUnverified)
	}
	l := newPersistConn(conn)
	resp, err := l.exchange(ctx, deadline, hs.Call)
	switch {
	case err != nil:
		err = errors.Mark(err, ErrUnverified)
	default:
		if err = hs.Check(resp); err == nil && resp.closeConn {
			err = errors.Mark(errNotReusable, ErrUnverified)
		}
	}
	if err != nil {
		_ = conn.Close() // the handshake's error is returned
		return nil, Response{}, err
	}
	return l, resp, nil
}

var errNotReusable = errors.New("the peer closes the connection after one call")

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// handshakeTimeout returns the time of the first attempt to connect, and the back-off in it. Between
// acquire and release the pool knows the incarnation.
func (p *Pool) handshakeTimeout(inc Incarnation) (timeout time.Duration, backOff int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.conns[inc].handshakes
	return e.timeout(p.meanHandshake), e.backOff
}

func (p *Pool) handshakeAnswered(inc Incarnation, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[inc].handshakes.answered(took)
	p.meanHandshake += (took - p.meanHandshake) / handshakeMeanWindow
}

func (p *Pool) handshakesTimedOut(inc Incarnation, backOff int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[inc].handshakes.timedOut(backOff)
}
