package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// LogOptions configures a LogArbiter. A zero duration takes its default.
type LogOptions struct {
	Options
	Stream ports.Stream // one per zone
	// MaxDelay is the longest time from sending a start to its arrival; default
	// 2 s. The worker does not refuse a start that arrives later.
	MaxDelay    time.Duration
	AppendEvery time.Duration // shortest interval between appends; default 200 ms
	// RefreshEvery is the interval at which the fence of a held lease is appended
	// again. It must be shorter than the log's retention; default 1 h.
	RefreshEvery time.Duration
}

// Defaults of LogOptions.
const (
	defaultMaxDelay    = 2 * time.Second
	defaultAppendEvery = 200 * time.Millisecond
	defaultRefresh     = time.Hour
	logPageLimit       = 1024 // records per read
	logRetry           = 250 * time.Millisecond
)

// AppendFences appends a group to the fence stream. The answer is a LogEvent.
type AppendFences struct{ stream.Append }

// ReadFences reads the fence stream. The answer is a LogEvent.
type ReadFences struct{ stream.Read }

// LogEvent is the log's answer to an AppendFences or ReadFences.
type LogEvent struct{ stream.Event }

// PresumedDead sets whether a holder is presumed dead. This only decides who
// claims a lease, not who owns it: a fence against a living holder delays work,
// but two hosts never use the lease at once.
type PresumedDead struct {
	Holder ident.Holder
	Dead   bool
}

func (AppendFences) isCommand() {}
func (ReadFences) isCommand()   {}
func (LogEvent) isEvent()       {}
func (PresumedDead) isEvent()   {}

// LogArbiter assigns leases by fences in a stream of the log, for workers that
// execute every start without checking its epoch. The newest fence of a lease
// names its owner; the offset of the fence is the epoch.
//
// An owner starts tasks only while its ownership is confirmed: for TTL*(1-Drift)
// after it sent a read that reached the end of the stream and found no fence of
// another host. A new owner first reads its own fence back, and then waits for
// TTL and MaxDelay. The earlier owner sent its last confirming read before that
// fence could be read, so its confirmation expires before the wait ends.
//
// An owner that hands a lease over appends a release after its last start was
// settled. The next owner then need not wait.
type LogArbiter struct {
	opts         LogOptions
	inner        *Manager // handles the workers' grants and reports, and renews their tasks
	reader       stream.Reader
	appender     stream.Appender
	fences       *fenceState
	claims       map[Key]*claim
	presumedDead map[ident.Holder]bool
	confirmedAt  time.Duration // SentAt of the last read that reached the end of the stream
	caughtUp     bool          // a read has reached the end of the stream
	draining     bool
	out          []Command
}

var _ Arbiter = (*LogArbiter)(nil)

// NewLogArbiter returns a LogArbiter that has not read the stream yet.
func NewLogArbiter(opts LogOptions) *LogArbiter {
	opts.Options = opts.Options.withDefaults()
	opts.MaxDelay = orDefault(opts.MaxDelay, defaultMaxDelay)
	opts.AppendEvery = orDefault(opts.AppendEvery, defaultAppendEvery)
	opts.RefreshEvery = orDefault(opts.RefreshEvery, defaultRefresh)
	inner := opts.Options
	// If the caller sends no Idle, a handover must not release the lease before
	// its last start must have arrived.
	inner.HandoverLimit = max(inner.HandoverLimit, opts.MaxDelay)
	return &LogArbiter{
		opts:         opts,
		inner:        New(inner),
		reader:       stream.Reader{Stream: opts.Stream, Retry: logRetry, Limit: logPageLimit},
		appender:     stream.Appender{Stream: opts.Stream, Retry: logRetry},
		fences:       newFenceState(),
		claims:       map[Key]*claim{},
		presumedDead: map[ident.Holder]bool{},
	}
}

// Step implements Arbiter.
func (a *LogArbiter) Step(now time.Duration, ev Event) []Command {
	a.out = nil
	a.suspendUnconfirmed(now)
	switch ev := ev.(type) {
	case Want:
		a.want(ev)
	case Drain:
		a.draining = true
		for _, key := range sortedKeys(a.claims) {
			a.want(Want{Key: key})
		}
	case PresumedDead:
		a.presumedDead[ev.Holder] = ev.Dead
	case LogEvent:
		a.logAnswered(now, ev.Event)
	case Granted:
		if c, ok := a.claims[ev.Key]; ok {
			ev.Grant.Epoch = c.innerEpoch
			a.stepInner(now, ev)
		}
	case EpochRefused, Refused, ReleaseDone:
		// These workers refuse no request and handle no releases.
	default:
		a.stepInner(now, ev)
	}
	a.advance(now)
	return a.out
}

// Epoch implements Arbiter.
func (a *LogArbiter) Epoch(key Key, now time.Duration) (ports.Epoch, bool) {
	if !a.owns(now, key) {
		return 0, false
	}
	if _, ok := a.inner.Epoch(key, now); !ok {
		return 0, false
	}
	return a.claims[key].epoch, true
}

// Left implements Arbiter.
func (a *LogArbiter) Left(key Key, now time.Duration) time.Duration {
	if _, ok := a.Epoch(key, now); !ok {
		return 0
	}
	return min(a.inner.Left(key, now), a.confirmedUntil()-now)
}

// Held implements Arbiter.
func (a *LogArbiter) Held(now time.Duration) int { return a.inner.Held(now) }

// Drained implements Arbiter. It does not wait for releases that are not in the
// log yet: without them, the next owner waits instead.
func (a *LogArbiter) Drained(now time.Duration) bool { return a.draining && a.inner.Held(now) == 0 }

// Next implements Arbiter. A Tick is always due, because a read is always in
// flight or about to be sent.
func (a *LogArbiter) Next() (time.Duration, bool) { return 0, true }

func (a *LogArbiter) confirmedUntil() time.Duration { return a.confirmedAt + a.opts.Span() }

// confirmed reports whether this host would have read any newer fence of another
// host that may be in use.
func (a *LogArbiter) confirmed(now time.Duration) bool { return a.caughtUp && now < a.confirmedUntil() }

// owns reports whether the log permits starts: this host owns the lease, the
// fence's wait is over and the ownership is confirmed.
func (a *LogArbiter) owns(now time.Duration, key Key) bool {
	c, ok := a.claims[key]
	return ok && c.epoch != 0 && now >= c.usableAt && a.confirmed(now)
}

func (a *LogArbiter) epochOf(key Key) ports.Epoch {
	if c, ok := a.claims[key]; ok {
		return c.epoch
	}
	return 0
}

func (a *LogArbiter) want(ev Want) {
	c, ok := a.claims[ev.Key]
	if !ok {
		if !ev.Wanted || a.draining {
			return
		}
		c = &claim{key: ev.Key}
		a.claims[ev.Key] = c
	}
	c.wanted = ev.Wanted && !a.draining
}
