// Package leader runs the region's scheduler on the host that leads: it reads
// the log, feeds package region with events, and carries out its commands.
package leader

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
	"github.com/fireflyfold/fireflyfold/ring"
)

// Topics of the region in the platform's log.
const (
	TopicIntake  = "intake"  // submissions and cancellations, by every host
	TopicEntries = "entries" // assignments and ends, by the leader
	producer     = "leader"

	// IntakeParts and entryParts are how many partitions of each topic are
	// used: the first, and others when it is down. A leader reads them all.
	IntakeParts = 3
	entryParts  = 3
)

const (
	// eventRing bounds the events that wait for the scheduler: some seconds of
	// the answers of a few hundred workers.
	eventRing = 8192
	// tickEvery is how often time passes for the scheduler.
	tickEvery = 20 * time.Millisecond
	// orderTimeout is how long the answer to a start or stop may take at least. Workers
	// answer within milliseconds, and an order that is sent again does no harm: a lost
	// answer is to cost little.
	orderTimeout = 200 * time.Millisecond
	// lookTimeout is the same for a look, beyond the time that the worker may wait.
	lookTimeout = 300 * time.Millisecond
	// mostTimeout bounds either.
	mostTimeout = 2 * time.Second
	// readTimeout bounds a read of the log beyond the time it may wait; while loading it is
	// the least such bound, and mostReadTimeout the most.
	readTimeout     = 1200 * time.Millisecond
	mostReadTimeout = 6 * time.Second
	// mostReadKB and leastReadKB bound how much one read of the log brings while loading, and
	// readTime how long its answer may take the link: six partitions are read at a time, and
	// answers to heartbeats and pings wait behind them.
	mostReadKB  = 1024
	leastReadKB = 16
	readTime    = 30 * time.Millisecond
	// heartbeatEvery is how often a leader that still loads appends a heartbeat. Others
	// take a leader whose entries stand still for gone, however long loading takes.
	heartbeatEvery = 100 * time.Millisecond
	// fenceTimeout bounds the first try to fence a partition off; later ones have
	// twice as long each, up to readTimeout.
	fenceTimeout = 300 * time.Millisecond
	// readWait is how long the log may wait for a record.
	readWait = time.Second
	// readRetry is the pause after a read that failed.
	readRetry = 100 * time.Millisecond
	// listEvery is the shortest time between two reads of the host list: all
	// workers write to it every second or two.
	listEvery = 250 * time.Millisecond
	// intakeGap is the pause after a read of the intake that brought records. The
	// host that wrote them has told of them already, so that several may share a
	// read: each is a call to the store, some 50 a second without the pause.
	intakeGap = 150 * time.Millisecond
	// intakeFresh is how old the newest read of the intake may be for an
	// unknown job to be called unknown.
	intakeFresh = 2500 * time.Millisecond
)

// Adviser asks the advice service from a host; "" is this one.
type Adviser func(ctx context.Context, timeout time.Duration, a region.Advise) ([]model.Ticket, error)

// Config is what a leader runs with.
type Config struct {
	Client    *platform.Client
	Fence     int64
	Options   region.Options
	CallBytes int
	LinkBps   int64                // bytes a second that this host's link carries; 0 if it is not known
	Config    func() *model.Config // newest configuration; nil if there is none
	Hosts     func() []string      // hosts that can be asked for advice
	Advise    Adviser
	LinkLoad  func() float64 // share of this host's link that is in use; nil if it is not known
	Log       *logrus.Entry
	Metrics   tally.Scope
}

// Leader is one leadership.
type Leader struct {
	cfg      Config
	board    *Board
	events   *ring.Ring[region.Event]
	writer   *logwriter.Writer
	loaded   atomic.Bool
	intakeAt [IntakeParts]atomic.Int64 // when the newest answered read of each partition of the intake was sent
	ledAt    atomic.Int64              // when loading was over
	loggedAt atomic.Int64              // when the newest append was answered
	answers  answerTimes               // of workers
	ctx      context.Context           // ends with the leadership
	deposed  context.CancelCauseFunc
}

// DeposedError reports that another host leads.
type DeposedError struct{ Why string }

// Error implements error.
func (e *DeposedError) Error() string { return "deposed: " + e.Why }

// New returns a leader that has not begun.
func New(cfg Config) *Leader {
	l := &Leader{cfg: cfg, board: NewBoard(), events: ring.New[region.Event](eventRing)}
	l.loggedAt.Store(int64(boottime.Now()))
	l.ctx, l.deposed = context.WithCancelCause(context.Background())
	return l
}

// State tells what is known of a job and the workspace that handed it in; sure
// is false where the answer might be out of date.
func (l *Leader) State(job string) (state region.State, workspace string, sure bool) {
	if !l.loaded.Load() {
		return region.StateUnknown, "", false
	}
	state, workspace = l.board.State(job)
	return state, workspace, state != region.StateUnknown || l.intakeFresh()
}

// intakeFresh reports whether every partition of the intake has been read
// lately: only then is a job that is not known certainly not there.
func (l *Leader) intakeFresh() bool {
	for i := range l.intakeAt {
		if boottime.Now()-time.Duration(l.intakeAt[i].Load()) >= intakeFresh {
			return false
		}
	}
	return true
}

// Loaded reports whether all that earlier leaders kept has been read.
func (l *Leader) Loaded() bool { return l.loaded.Load() }

// Kept takes over a record of the intake that another host has written, ahead of
// the read that brings it as well; the first one counts. It spares submissions the
// read, which takes as long as an append where the log is slow, and a second and
// more where the log's watches are silent.
func (l *Leader) Kept(ctx context.Context, r *record.Intake) {
	if l.loaded.Load() {
		l.push(ctx, region.IntakeRead{Records: []*record.Intake{r}})
	}
}

// Pending counts the waiting jobs of a queue; sure is false while loading.
func (l *Leader) Pending(queue string) (n int64, sure bool) {
	return l.board.Pending(queue), l.loaded.Load()
}

// Depose ends this leadership: a later claim has been read.
func (l *Leader) Depose(fence int64) {
	l.deposed(&DeposedError{Why: "fencing token " + strconv.FormatInt(fence, 10) + " has been claimed"})
}

// LogRefusedFor is how long the log has done nothing but refuse this host.
func (l *Leader) LogRefusedFor() time.Duration {
	if !l.loaded.Load() {
		return 0
	}
	return l.writer.RefusedFor()
}

// LedFor is how long this host has led; 0 while it loads.
func (l *Leader) LedFor() time.Duration {
	if !l.loaded.Load() {
		return 0
	}
	return boottime.Now() - time.Duration(l.ledAt.Load())
}

// loadGrace is how long loading may take beyond the time of one append before
// the leader counts as cut off from the log.
const loadGrace = 2500 * time.Millisecond

// LogContactAge is how long the log has not answered an append, beyond the time that
// it takes anyway; while loading, beyond the grace for that. A leader that is
// replaced because the log is slow for everyone leaves the region without one for as
// long as its successor needs to load from the same log.
func (l *Leader) LogContactAge() time.Duration { return l.contactAge(boottime.Now()) }

func (l *Leader) contactAge(now time.Duration) time.Duration {
	age := now - time.Duration(l.loggedAt.Load())
	if !l.loaded.Load() {
		return age - loadGrace
	}
	return max(0, age-slowLogFactor*l.writer.AnswerTime())
}

// Run leads until ctx ends or another host takes over.
func (l *Leader) Run(parent context.Context) error {
	ctx, cancel := l.ctx, l.deposed
	defer cancel(nil)
	defer context.AfterFunc(parent, func() { cancel(context.Cause(parent)) })()
	l.loggedAt.Store(int64(boottime.Now()))
	began := boottime.Now()
	ends, err := l.fenceOff(ctx)
	if err != nil {
		return err
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() {
		if err := l.writer.Run(ctx); err != nil && ctx.Err() == nil {
			cancel(&DeposedError{Why: err.Error()})
		}
	})
	group.Go(func() { l.heartbeat(ctx) })
	sched := region.New(l.cfg.Options)
	next, err := l.load(ctx, sched, ends)
	if err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	l.cfg.Log.WithFields(logrus.Fields{"fence": l.cfg.Fence, "load_ms": (boottime.Now() - began).Milliseconds(),
		"intake": next}).Info("leading")
	l.loggedAt.Store(int64(boottime.Now()))
	l.ledAt.Store(int64(boottime.Now()))
	l.loaded.Store(true)
	for part, from := range next {
		group.Go(func() { l.readIntake(ctx, part, from) })
	}
	group.Go(func() { l.watchWorkers(ctx) })
	l.loop(ctx, sched)
	return context.Cause(ctx)
}

// heartbeat appends heartbeats until the scheduler does.
//
// The guard is against hosts that claim the lead from a leader that still loads: each
// successor would have to load as well, and with a slow log or a narrow link nobody would
// ever lead.
func (l *Leader) heartbeat(ctx context.Context) {
	for !l.loaded.Load() {
		beat := &record.Entry{Fence: l.cfg.Fence, Kind: &record.Entry_AliveUnixMs{AliveUnixMs: time.Now().UnixMilli()}}
		data, err := proto.Marshal(beat)
		if err != nil {
			panic(err) // entries are built by this program and always encode
		}
		kept := make(chan struct{})
		l.writer.Write(data, func(logwriter.Kept) {
			l.loggedAt.Store(int64(boottime.Now()))
			close(kept)
		})
		select {
		case <-ctx.Done():
			return
		case <-kept:
		}
		if !boottime.Sleep(ctx, heartbeatEvery) {
			return
		}
	}
}

// loop is the scheduler's goroutine.
func (l *Leader) loop(ctx context.Context, sched *region.Scheduler) {
	d := &dispatcher{leader: l, ctx: ctx}
	d.do(sched.Step(boottime.Now(), region.Lead{Fence: l.cfg.Fence}))
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var (
		config *model.Config
		hosts  hostList
	)
	for {
		select {
		case <-ctx.Done():
			d.wait()
			return
		case ev := <-l.events.Items():
			d.do(sched.Step(boottime.Now(), ev))
			l.drain(d, sched)
		case due := <-ticker.C:
			if c := l.cfg.Config(); c != config {
				config = c
				d.do(sched.Step(boottime.Now(), region.ConfigRead{Config: c}))
			}
			if names := l.cfg.Hosts(); hosts.changed(names) {
				d.do(sched.Step(boottime.Now(), region.HostsSeen{Hosts: names}))
			}
			tick := region.Tick{UnixMs: time.Now().UnixMilli(), LoopLag: time.Since(due)}
			if l.cfg.LinkLoad != nil {
				tick.LinkLoad = l.cfg.LinkLoad()
			}
			d.do(sched.Step(boottime.Now(), tick))
		}
		d.do(sched.Step(boottime.Now(), region.Schedule{}))
	}
}

// drain applies the events at hand, so that one look for room serves them all.
func (l *Leader) drain(d *dispatcher, sched *region.Scheduler) {
	for {
		select {
		case ev := <-l.events.Items():
			d.do(sched.Step(boottime.Now(), ev))
		default:
			return
		}
	}
}

// hostList notices changes.
type hostList struct{ names []string }

func (h *hostList) changed(names []string) bool {
	same := len(names) == len(h.names)
	for i := 0; same && i < len(names); i++ {
		same = names[i] == h.names[i]
	}
	h.names = names
	return !same
}

func (l *Leader) push(ctx context.Context, ev region.Event) { l.events.Push(ctx, ev) }
