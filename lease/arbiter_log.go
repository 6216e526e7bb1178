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
	Stream ports.Stream // one for each zone
	// MaxDelay bounds the time from sending a start to its arrival. Nothing at
	// the worker refuses a start that comes later; default 2 s.
	MaxDelay    time.Duration
	AppendEvery time.Duration // least time between appends; default 200 ms
	// RefreshEvery is the time between two fences of one lease. It must be
	// shorter than the log keeps records; default 1 h.
	RefreshEvery time.Duration
}

// Defaults of LogOptions.
const (
	defaultMaxDelay    = 2 * time.Second
	defaultAppendEvery = 200 * time.Millisecond
	defaultRefresh     = time.Hour
	logPage            = 1024 // records of one read
	logRetry           = 250 * time.Millisecond
)

// AppendFences adds a group to the stream of fences. The answer is a LogEvent.
type AppendFences struct{ stream.Append }

// ReadFences reads the stream of fences. The answer is a LogEvent.
type ReadFences struct{ stream.Read }

// LogEvent is the log's answer to an AppendFences or ReadFences.
type LogEvent struct{ stream.Event }

// Presumed says whether a holder is presumed gone. It decides who asks, never
// who has: a fence over a living holder costs time and breaks nothing.
type Presumed struct {
	Holder ident.Holder
	Gone   bool
}

func (AppendFences) isCommand() {}
func (ReadFences) isCommand()   {}
func (LogEvent) isEvent()       {}
func (Presumed) isEvent()       {}

// LogArbiter decides over leases by fences in a stream of the log, for workers
// that run whatever they are told to. The newest fence of a lease names its
// owner; its offset is the epoch.
//
// An owner starts tasks only while it can prove that nobody has passed it: for
// TTL*(1-Drift) after it sent a read that reached the end of the stream without
// a fence of another. Whoever passes it reads its own fence back and waits for
// TTL and MaxDelay from then. The owner's last proof was sent before the fence
// was there to be read, so it ends before the wait does.
//
// An owner that hands a lease over writes so after its last start was settled,
// and its successor need not wait.
type LogArbiter struct {
	opts     LogOptions
	inner    *Manager // talks to the workers: reports, and renewal of tasks
	reader   stream.Reader
	appender stream.Appender
	fences   *fenceFold
	claims   map[Key]*claim
	gone     map[ident.Holder]bool
	proven   time.Duration // SentAt of the last read that reached the end
	known    bool          // there was one
	draining bool
	out      []Command
}

var _ Arbiter = (*LogArbiter)(nil)

// NewLogArbiter returns an arbiter that has read nothing.
func NewLogArbiter(opts LogOptions) *LogArbiter {
	opts.Options = opts.Options.withDefaults()
	opts.MaxDelay = orDefault(opts.MaxDelay, defaultMaxDelay)
	opts.AppendEvery = orDefault(opts.AppendEvery, defaultAppendEvery)
	opts.RefreshEvery = orDefault(opts.RefreshEvery, defaultRefresh)
	inner := opts.Options
	// A handover that the caller never calls idle is released when its last
	// start must have arrived.
	inner.HandoverLimit = max(inner.HandoverLimit, opts.MaxDelay)
	return &LogArbiter{
		opts:     opts,
		inner:    New(inner),
		reader:   stream.Reader{Stream: opts.Stream, Retry: logRetry, Limit: logPage},
		appender: stream.Appender{Stream: opts.Stream, Retry: logRetry},
		fences:   newFenceFold(),
		claims:   map[Key]*claim{},
		gone:     map[ident.Holder]bool{},
	}
}

// Step implements Arbiter.
func (a *LogArbiter) Step(now time.Duration, ev Event) []Command {
	a.out = nil
	a.lapse(now)
	switch ev := ev.(type) {
	case Want:
		a.want(ev)
	case Drain:
		a.draining = true
		for _, key := range sortedKeys(a.claims) {
			a.want(Want{Key: key})
		}
	case Presumed:
		a.gone[ev.Holder] = ev.Gone
	case LogEvent:
		a.logged(now, ev.Event)
	case Granted:
		if c, ok := a.claims[ev.Key]; ok {
			ev.Grant.Epoch = c.uses
			a.stepInner(now, ev)
		}
	case EpochRefused, Refused, ReleaseDone:
		// These workers refuse nothing and know of no releases.
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
	return min(a.inner.Left(key, now), a.provenUntil()-now)
}

// Held implements Arbiter.
func (a *LogArbiter) Held(now time.Duration) int { return a.inner.Held(now) }

// Drained implements Arbiter. Releases that are not in the log yet are not
// waited for: the successor then waits instead.
func (a *LogArbiter) Drained(now time.Duration) bool { return a.draining && a.inner.Held(now) == 0 }

// Next implements Arbiter: a read is always open or about to be sent.
func (a *LogArbiter) Next() (time.Duration, bool) { return 0, true }

func (a *LogArbiter) provenUntil() time.Duration { return a.proven + a.opts.Span() }

// proves reports whether nobody can have passed this host's fences unseen.
func (a *LogArbiter) proves(now time.Duration) bool { return a.known && now < a.provenUntil() }

// owns reports whether starts may be sent as far as the log goes.
func (a *LogArbiter) owns(now time.Duration, key Key) bool {
	c, ok := a.claims[key]
	return ok && c.epoch != 0 && now >= c.usableAt && a.proves(now)
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
