package lifeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// farWorker is the server side of in-memory connections. It accepts and answers with a delay.
type farWorker struct {
	accepts, answers time.Duration // how long it takes to accept a connection, and to answer a call
	refuses          bool          // nobody listens at its address

	mu      sync.Mutex
	silent  bool // it accepts nothing
	dials   int
	conns   []net.Conn // the server ends
	serving sync.WaitGroup
}

// silenceFor makes the worker accept nothing for a while.
func (w *farWorker) silenceFor(d time.Duration) {
	w.setSilent(true)
	time.AfterFunc(d, func() { w.setSilent(false) })
}

func (w *farWorker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *farWorker) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.mu.Lock()
	w.dials++
	accepted := time.After(w.accepts)
	if w.silent {
		accepted = nil
	}
	w.mu.Unlock()
	if w.refuses {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	select {
	case <-accepted:
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	ours, theirs := net.Pipe()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, theirs)
	w.serving.Go(func() { w.serve(theirs) })
	return ours, nil
}

func (w *farWorker) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		time.Sleep(w.answers)
		if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"); err != nil {
			return
		}
	}
}

func (w *farWorker) close() {
	for _, c := range w.conns {
		_ = c.Close()
	}
	w.serving.Wait()
}

// dialsOf returns a Dial that reaches each worker at its address.
func dialsOf(workers map[string]*farWorker) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return workers[address].dial(ctx, network, address)
	}
}

// callOnNewConn makes a call on a new connection and returns how long it took.
func callOnNewConn(t *testing.T, p *Pool, address string) (time.Duration, error) {
	t.Helper()
	p.closeConns()
	start := time.Now()
	_, err := p.Do(t.Context(), Incarnation{ID: address, Address: address, Born: 7}, Call{Request: request, Timeout: 2 * time.Second}, handshakeFor(7))
	return time.Since(start), err
}

// closeConns closes the idle connections of all incarnations, as their peers do.
func (p *Pool) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, set := range p.conns {
		for _, l := range set.idle {
			_ = l.conn.Close()
		}
		set.idle = nil
	}
}

// Guards against a worker that is never reached on a new connection, although it answers each
// handshake: dial and handshake take longer than the time-out of each attempt. Its runs would be
// given up with their lease and started again.
func TestFarWorkerIsReachedOnNewConnection(t *testing.T) {
	for name, c := range map[string]struct {
		accepts, answers time.Duration
		calls            int // by which it is reached
	}{
		"answers late":      {0, 70 * time.Millisecond, 1},
		"accepts late":      {70 * time.Millisecond, 0, 1},
		"both, in 80 ms":    {40 * time.Millisecond, 40 * time.Millisecond, 1},
		"answers very late": {0, 600 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &farWorker{accepts: c.accepts, answers: c.answers}
				p := NewPool(w.dial, 4)
				defer w.close()
				defer p.CloseIdle()
				calls := 1
				for ; ; calls++ {
					if _, err := callOnNewConn(t, p, "far"); err == nil {
						break
					} else if calls == c.calls || !notSent(err) {
						t.Fatalf("call %d: %v", calls, err)
					}
				}
				w.dials = 0
				for range 3 {
					if _, err := callOnNewConn(t, p, "far"); err != nil {
						t.Fatalf("a call after one that was answered: %v", err)
					}
				}
				if w.dials != 3 {
					t.Errorf("%d connections for 3 calls, after the time to answer was known", w.dials)
				}
			})
		})
	}
}

// Guards against calls that hang: a silent worker is given up within a bound, however often it has
// been called, and one that nobody listens for at once.
func TestSilentWorkerIsGivenUpInTime(t *testing.T) {
	const bound = handshakeAttempts * maxHandshakeTimeout
	for name, w := range map[string]*farWorker{"accepts nothing": {silent: true}, "answers nothing": {answers: time.Hour}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(w.dial, 16)
				defer w.close()
				for n := range 10 {
					if took, err := callOnNewConn(t, p, "silent"); !notSent(err) || took > bound || n == 0 && took > bound/4 {
						t.Errorf("call %d: error %v after %v", n, err, took)
					}
				}
			})
		})
	}
	refusing := &farWorker{refuses: true}
	if _, err := callOnNewConn(t, NewPool(refusing.dial, 4), "refusing"); !errors.Is(err, syscall.ECONNREFUSED) || refusing.dials != 1 {
		t.Errorf("refused: %v after %d connections, want 1", err, refusing.dials)
	}
}

// Guards against workers that are slow to reach because others are far or silent: a lost handshake
// to a near one is repeated as soon as before.
func TestSilentAndFarWorkersDoNotDelayNearOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := map[string]*farWorker{"silent": {silent: true}, "far": {answers: 45 * time.Millisecond}, "near": {}, "mute": {answers: time.Hour}}
		p := NewPool(dialsOf(workers), 4)
		for range 5 {
			_, _ = callOnNewConn(t, p, "silent")
		}
		for range 2 {
			if _, err := callOnNewConn(t, p, "far"); err != nil {
				t.Fatal(err)
			}
		}
		workers["near"].silenceFor(minHandshakeTimeout / 2)
		if took, err := callOnNewConn(t, p, "near"); err != nil || took > minHandshakeTimeout {
			t.Errorf("a lost handshake of a near worker: error %v after %v", err, took)
		}
		p.CloseIdle()
		for _, w := range workers {
			w.close()
		}
	})
}

// Guards against a back-off that outlives its cause: a worker that was silent for long and then
// answers at once has its lost handshakes repeated as soon as before.
func TestBackOffEndsWithAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &farWorker{silent: true}
		p := NewPool(w.dial, 4)
		for range 5 {
			_, _ = callOnNewConn(t, p, "worker")
		}
		w.setSilent(false)
		if _, err := callOnNewConn(t, p, "worker"); err != nil {
			t.Fatal(err)
		}
		w.silenceFor(minHandshakeTimeout / 2)
		if took, err := callOnNewConn(t, p, "worker"); err != nil || took > minHandshakeTimeout {
			t.Errorf("error %v after %v", err, took)
		}
		p.CloseIdle()
		w.close()
	})
}

// Guards against a pool that grows with the incarnations that it has called.
func TestIncarnationsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := map[string]*farWorker{"gone": {silent: true}, "left": {}, "here": {}}
		p := NewPool(dialsOf(workers), 4)
		for address := range workers {
			_, _ = callOnNewConn(t, p, address)
		}
		for range 40 {
			time.Sleep(time.Second)
			_, _ = p.Do(t.Context(), Incarnation{ID: "here", Address: "here", Born: 7}, Call{Request: request, Timeout: time.Second}, handshakeFor(7))
		}
		if len(p.conns) != 1 {
			t.Errorf("%d incarnations kept, want 1", len(p.conns))
		}
		p.CloseIdle()
		for _, w := range workers {
			w.close()
		}
	})
}

// Guards against a back-off that reaches its bound at once, as many concurrent calls to one
// incarnation time out together.
func TestConcurrentTimeoutsCountOnce(t *testing.T) {
	var e handshakeEstimate
	for range 3 {
		e.timedOut(0)
	}
	if got := e.timeout(0); got != 2*minHandshakeTimeout {
		t.Errorf("%v after concurrent calls have timed out, want %v", got, 2*minHandshakeTimeout)
	}
}
