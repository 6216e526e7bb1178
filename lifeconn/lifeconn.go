// Package lifeconn makes HTTP calls to processes over connections that belong to one life
// of a process each.
//
// The guard is against a call that gets no answer and is carried out seconds later by the
// process's next life at the same address, which knows nothing of before. A call goes out
// only on a connection over which the life that it is for has answered. A process that dies
// ends its connections, and what is on its way on them, wherever it is held up, dies with
// it. It holds as long as nothing on the way dials anew for bytes that it has taken in on a
// connection that was answered before.
//
// A call uses a connection by itself and in the goroutine of its caller: with thousands of
// calls a second to hundreds of processes, a transport with goroutines of its own for each
// connection costs several times as much (BenchmarkCallWorker of package platform).
package lifeconn

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/linkstats"
)

const (
	// A proof that is not answered within proofFactor usual times is made again on
	// another connection, proofTries times in all.
	proofFactor = 8
	proofTries  = 3
	// leastProof and mostProof bound that wait: sound processes answer within
	// milliseconds, and over a busy link or with a busy processor all answers are late.
	leastProof = 50 * time.Millisecond
	mostProof  = 800 * time.Millisecond
	// proofMemory is over how many proofs the usual time is a running mean.
	proofMemory = 32
	// maxIdle is how many unused connections to a life are kept.
	maxIdle = 4
	// idleLife is how long an unused connection is kept.
	idleLife = 30 * time.Second
	// trustedIdle is how long after its last call a connection is used without a look
	// whether the other side has ended it.
	trustedIdle = 20 * time.Millisecond
	// sweepEvery is how often connections that are idle for too long are looked for.
	sweepEvery = time.Second
)

// Life names one life of a process.
type Life struct {
	ID, Address string
	Born        int64
}

// Call is one call.
type Call struct {
	Kind    string // for the counters
	Request []byte // whole, in HTTP/1.1
	// Timeout is how long the answer may take, from when there is a connection.
	Timeout time.Duration
}

// Proof is the call that shows which life answers on a new connection. It does no harm
// wherever it is carried out.
type Proof struct {
	Call
	// Check returns an error if the answer is not that of the life wanted. An error that
	// wraps ErrUnproven leaves open whose it is, so that another connection is tried.
	Check func(Answer) error
}

// ErrUnproven marks answers that do not tell which life gave them.
var ErrUnproven = errors.New("the answer does not tell whose it is")

// NotSentError reports a call of which nothing has left: it has certainly not been carried
// out. Its cause may be the error of a Proof's check.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BusyError reports that too many calls to a life are under way.
type BusyError struct{ Calls int }

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("%d calls are under way already", e.Calls) }

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	dial    linkstats.Dial
	perLife int          // calls to one life at a time
	usual   atomic.Int64 // how long a connection and its proof take, a running mean; one that meets another may be lost

	mu      sync.Mutex
	lives   map[Life]*links
	sweptAt time.Time
}

// links are the connections to one life.
type links struct {
	idle []*link // the one used last comes last
	busy int
}

// NewPool returns a pool whose connections come from dial. It makes at most perLife calls
// to one life at a time.
func NewPool(dial linkstats.Dial, perLife int) *Pool {
	return &Pool{dial: dial, perLife: perLife, lives: make(map[Life]*links)}
}

// Do makes a call. A *NotSentError tells that it was certainly not carried out; any other
// error that it may have been, or may be yet.
func (p *Pool) Do(ctx context.Context, life Life, c Call, proof Proof) (Answer, error) {
	l, err := p.take(life)
	if err != nil {
		return Answer{}, &NotSentError{Cause: err}
	}
	if l == nil {
		if l, _, err = p.connect(ctx, life, proof); err != nil {
			p.release(life, nil)
			return Answer{}, &NotSentError{Cause: err}
		}
	}
	return p.use(ctx, life, l, c)
}

// Look makes the proof's call for its own sake: over a connection that there is, or as the
// proof of a new one.
func (p *Pool) Look(ctx context.Context, life Life, proof Proof) (Answer, error) {
	l, err := p.take(life)
	if err != nil {
		return Answer{}, &NotSentError{Cause: err}
	}
	if l != nil {
		return p.use(ctx, life, l, proof.Call)
	}
	l, ans, err := p.connect(ctx, life, proof)
	p.release(life, l)
	if err != nil {
		return Answer{}, &NotSentError{Cause: err}
	}
	return ans, nil
}

// use makes a call on a connection and gives that back.
func (p *Pool) use(ctx context.Context, life Life, l *link, c Call) (Answer, error) {
	ans, err := l.exchange(ctx, time.Now().Add(c.Timeout), c)
	if err != nil || ans.last {
		_ = l.conn.Close() // what it failed with is told already
		p.release(life, nil)
		return ans, err
	}
	p.release(life, l)
	return ans, nil
}

// take returns an unused connection to a life, or nil if one has to be made.
func (p *Pool) take(life Life) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	of, known := p.lives[life]
	if !known {
		of = &links{}
		p.lives[life] = of
	}
	if of.busy >= p.perLife {
		return nil, &BusyError{Calls: of.busy}
	}
	of.busy++
	for n := len(of.idle); n > 0; n = len(of.idle) {
		l := of.idle[n-1]
		of.idle = of.idle[:n-1]
		if time.Since(l.usedAt) < trustedIdle || !l.ended() {
			return l, nil
		}
		_ = l.conn.Close() // the other side has ended it
	}
	return nil, nil
}

// release gives a connection back, if there is one, after a call.
func (p *Pool) release(life Life, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	of, known := p.lives[life]
	if !known {
		of = &links{busy: 1}
		p.lives[life] = of
	}
	of.busy--
	switch {
	case l == nil:
	case len(of.idle) >= maxIdle:
		_ = l.conn.Close() // unused
	default:
		l.usedAt = time.Now()
		of.idle = append(of.idle, l)
	}
	if of.busy == 0 && len(of.idle) == 0 {
		delete(p.lives, life)
	}
}

// sweep closes connections that have been idle for too long.
func (p *Pool) sweep() {
	if time.Since(p.sweptAt) < sweepEvery {
		return
	}
	p.sweptAt = time.Now()
	for life, of := range p.lives {
		for len(of.idle) > 0 && time.Since(of.idle[0].usedAt) > idleLife {
			_ = of.idle[0].conn.Close() // unused
			of.idle = of.idle[1:]
		}
		if of.busy == 0 && len(of.idle) == 0 {
			delete(p.lives, life)
		}
	}
}

// CloseIdle closes the connections that no call uses.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, of := range p.lives {
		for _, l := range of.idle {
			_ = l.conn.Close() // unused
		}
		of.idle = nil
		if of.busy == 0 {
			delete(p.lives, life)
		}
	}
}

// connect makes a connection that is proven, and returns the answer that proved it. A
// proof without an answer is made again on another connection.
func (p *Pool) connect(ctx context.Context, life Life, proof Proof) (*link, Answer, error) {
	var (
		l   *link
		ans Answer
		err error
	)
	for range proofTries {
		l, ans, err = p.once(ctx, life, proof)
		if err == nil || !errors.Is(err, ErrUnproven) || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			break
		}
	}
	return l, ans, err
}

func (p *Pool) once(ctx context.Context, life Life, proof Proof) (*link, Answer, error) {
	began := time.Now()
	wait := min(max(leastProof, proofFactor*time.Duration(p.usual.Load())), mostProof)
	dialCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	conn, err := p.dial(dialCtx, "tcp", life.Address)
	if err != nil {
		return nil, Answer{}, errors.Mark(err, ErrUnproven)
	}
	l := newLink(conn)
	ans, err := l.exchange(ctx, began.Add(wait), proof.Call)
	switch {
	case err != nil:
		err = errors.Mark(err, ErrUnproven)
	default:
		if err = proof.Check(ans); err == nil && ans.last {
			err = errors.Mark(errOneCall, ErrUnproven)
		}
	}
	if err != nil {
		_ = conn.Close() // the proof's error says more
		return nil, Answer{}, err
	}
	usual := time.Duration(p.usual.Load())
	p.usual.Store(int64(usual + (time.Since(began)-usual)/proofMemory))
	return l, ans, nil
}

var errOneCall = errors.New("the other side ends the connection after one call")
