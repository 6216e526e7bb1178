// Package leader runs the region's scheduler on the leading host: it reads the log, passes
// events to package region and executes the commands that the scheduler returns.
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
	TopicIntake  = "intake"  // submissions and cancellations, appended by every host
	TopicEntries = "entries" // assignments and ends of runs, appended by the leader
	producer     = "leader"

	// IntakeParts and entryParts are how many partitions of each topic are used: the first
	// one, and the others while it is down. A leader reads them all.
	IntakeParts = 3
	entryParts  = 3
)

const (
	// eventRingSize bounds the events queued for the scheduler: a few seconds of responses
	// from a few hundred workers.
	eventRingSize = 8192
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 20 * time.Millisecond
	// minStartStopTimeout is the minimum timeout of a start or stop call. Workers answer
	// within milliseconds, and repeating the call is harmless, so a short timeout limits the
	// cost of a lost response.
	minStartStopTimeout = 200 * time.Millisecond
	// minProbeTimeout is the same for a probe, in addition to the time that the worker may
	// defer its response.
	minProbeTimeout = 300 * time.Millisecond
	// maxCallTimeout is the maximum of both.
	maxCallTimeout = 2 * time.Second
	// readTimeout bounds a read of the log, in addition to the time that the log may wait for
	// a record. While loading it is the first such bound, and maxReadTimeout the largest.
	readTimeout    = 1200 * time.Millisecond
	maxReadTimeout = 6 * time.Second
	// maxReadKB and minReadKB bound the size of one read of the log while loading, in KiB, and
	// readTransferTime is how long its response may occupy the link: six partitions are read
	// concurrently, and the responses to heartbeats and pings queue behind them.
	maxReadKB        = 1024
	minReadKB        = 16
	readTransferTime = 30 * time.Millisecond
	// heartbeatInterval is the pause between the heartbeats of a leader that is still loading.
	// Other hosts count a leader without new entries as failed, however long loading takes.
	heartbeatInterval = 100 * time.Millisecond
	// firstFenceTimeout bounds the first attempt to fence off a partition; the timeout doubles
	// with each further attempt, up to readTimeout.
	firstFenceTimeout = 300 * time.Millisecond
	// longPollWait is how long the log may wait for a record before it answers a read.
	longPollWait = time.Second
	// readRetryDelay is the pause after a read that failed.
	readRetryDelay = 100 * time.Millisecond
	// workerListInterval is the minimum time between two reads of the worker list: all
	// workers write to it every second or two.
	workerListInterval = 250 * time.Millisecond
	// intakeReadDelay is the pause after a read of the intake that returned records, so that
	// several records share a read. It delays no submission, because the host that appended a
	// record passes it on directly (HandleIntake). Without the pause, reads cost the store
	// some 50 calls a second.
	intakeReadDelay = 150 * time.Millisecond
	// maxIntakeAge is the maximum age of the newest read of the intake at which State reports
	// with certainty that a job is unknown.
	maxIntakeAge = 2500 * time.Millisecond
)

// Adviser requests advice from the advice service through the host that a names; "" is this
// host.
type Adviser func(ctx context.Context, timeout time.Duration, a region.Advise) ([]model.Ticket, error)

// Config configures a Leader.
type Config struct {
	Client    *platform.Client
	Fence     int64 // fencing token of this leadership
	Options   region.Options
	CallBytes int   // maximum size of an append
	LinkBps   int64 // capacity of this host's link in bytes per second; 0 if unknown
	// WorkerHeartbeat is how often a worker writes its entry in the worker list.
	WorkerHeartbeat time.Duration
	Config          func() *model.Config // returns the newest configuration, or nil if there is none
	// ZoneDrains returns the newest confirmed set of drained zones, or nil if there is none.
	ZoneDrains func() *model.ZoneDrains
	Hosts      func() []string // returns the hosts that can be asked for advice
	Advise     Adviser
	LinkLoad   func() float64 // returns the share of this host's link that is in use; nil if unknown
	Log        *logrus.Entry
	Metrics    tally.Scope
}

// Leader runs the scheduler for one term of leadership of this host.
type Leader struct {
	cfg          Config
	status       *StatusView
	events       *ring.Ring[region.Event]
	writer       *logwriter.Writer
	loaded       atomic.Bool
	intakeReadAt [IntakeParts]atomic.Int64 // when the newest read of each partition that is applied was sent
	loadedAt     atomic.Int64              // when loading was completed
	lastAppendAt atomic.Int64              // when the newest append was acked
	jobMemory    atomic.Int64              // as the scheduler counts it
	provenAt     atomic.Int64              // until when no later leader had led, as known while loading
	callTimeout  timeoutEstimator          // of calls to workers
	ctx          context.Context           // ends with the leadership
	cancel       context.CancelCauseFunc
}

// LeadershipLostError reports that another host has taken over the leadership.
type LeadershipLostError struct{ Why string }

// Error implements error.
func (e *LeadershipLostError) Error() string { return "leadership lost: " + e.Why }

// New returns a leader; Run starts it.
func New(cfg Config) *Leader {
	l := &Leader{cfg: cfg, status: NewStatusView(), events: ring.New[region.Event](eventRingSize)}
	l.lastAppendAt.Store(int64(boottime.Now()))
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	return l
}

// JobState is what a leader knows of a job.
type JobState struct {
	State     region.State
	Workspace string // that submitted the job
	// ReadAge is the age of the oldest read of a partition of the intake that is applied: any job
	// acknowledged before that read was sent is known.
	ReadAge time.Duration
}

// VisibleTo returns the state for callers with a key of the workspace. A job of another workspace is
// unknown to them.
func (s JobState) VisibleTo(workspace string) region.State {
	if s.Workspace != workspace {
		return region.StateUnknown
	}
	return s.State
}

// State returns the state of a job. current is false if it may be out of date: while the leader loads,
// and for an unknown job if the intake has not been read recently.
func (l *Leader) State(job string) (s JobState, current bool) {
	if !l.loaded.Load() {
		return JobState{}, false
	}
	s.ReadAge = l.intakeReadAge() // before the state, which can only become newer
	s.State, s.Workspace = l.status.State(job)
	return s, s.State != region.StateUnknown || s.ReadAge < maxIntakeAge
}

// Explain returns what is known of a job. current is false as for State.
func (l *Leader) Explain(job string) (e Explanation, current bool) {
	if !l.loaded.Load() {
		return Explanation{}, false
	}
	e = l.status.Explain(job)
	return e, e.State != region.StateUnknown || l.intakeReadAge() < maxIntakeAge
}

// intakeReadAge returns how long ago the reads of the intake that are applied were sent, for the
// partition where that is longest.
func (l *Leader) intakeReadAge() time.Duration {
	oldest := l.intakeReadAt[0].Load()
	for i := range l.intakeReadAt {
		oldest = min(oldest, l.intakeReadAt[i].Load())
	}
	return boottime.Now() - time.Duration(oldest)
}

// JobMemory returns a bound of the memory in bytes that all jobs take up: jobs that State knows and
// those acknowledged longer than readAge ago. loaded is false while the leader loads.
func (l *Leader) JobMemory() (bytes int64, readAge time.Duration, loaded bool) {
	if !l.loaded.Load() {
		return 0, 0, false
	}
	readAge = l.intakeReadAge() // before the memory, which then has at least the jobs of that read
	return l.jobMemory.Load(), readAge, true
}

// Loaded reports whether the records of earlier leaders have been replayed.
func (l *Leader) Loaded() bool { return l.loaded.Load() }

// HandleIntake passes the scheduler a record that a host has appended to the intake, before a
// read of the log returns it; the scheduler ignores the second copy. A submission need not wait
// for the read, which takes as long as an append where the log is slow, and a second or more
// where the log does not wake waiting reads.
func (l *Leader) HandleIntake(ctx context.Context, r *record.Intake) {
	if l.loaded.Load() && l.validIntake(r) {
		l.push(ctx, region.IntakeRead{Records: []*record.Intake{r}, Notified: true})
	}
}

// Pending returns how many jobs of a queue wait for their first task to start. current is
// false while the leader loads.
func (l *Leader) Pending(queue string) (n int64, current bool) {
	return l.status.Pending(queue), l.loaded.Load()
}

// StepDown ends this leadership, because a claim with a higher fencing token has been read.
func (l *Leader) StepDown(fence int64) {
	l.cancel(&LeadershipLostError{Why: "fencing token " + strconv.FormatInt(fence, 10) + " has been claimed"})
}

// LogRefusedFor returns for how long the log has refused every append of this leader; 0 while
// the leader loads.
func (l *Leader) LogRefusedFor() time.Duration {
	if !l.loaded.Load() {
		return 0
	}
	return l.writer.RefusedFor()
}

// LedFor returns how long ago this leader completed loading; 0 while it loads.
func (l *Leader) LedFor() time.Duration {
	if !l.loaded.Load() {
		return 0
	}
	return boottime.Now() - time.Duration(l.loadedAt.Load())
}

// loadGracePeriod is how long the log may leave an append of a loading leader without an ack
// before the contact to the log counts as lost.
const loadGracePeriod = 2500 * time.Millisecond

// LogContactAge returns for how long the log has not acked an append, less a multiple of its
// latency, and at least 0. While the leader loads, loadGracePeriod is subtracted instead, and
// the result may be negative. Replacing a leader because the log is slow for all hosts would
// leave the region without one for as long as the new leader needs to load from the same log.
func (l *Leader) LogContactAge() time.Duration { return l.contactAge(boottime.Now()) }

func (l *Leader) contactAge(now time.Duration) time.Duration {
	age := now - time.Duration(l.lastAppendAt.Load())
	if !l.loaded.Load() {
		return age - loadGracePeriod
	}
	return max(0, age-slowLogFactor*l.writer.LastLatency())
}

// Run fences off earlier leaders, replays the log and runs the scheduler, until parent ends
// or another host takes over. It returns the cause of the end.
func (l *Leader) Run(parent context.Context) error {
	ctx, cancel := l.ctx, l.cancel
	defer cancel(nil)
	defer context.AfterFunc(parent, func() { cancel(context.Cause(parent)) })()
	l.lastAppendAt.Store(int64(boottime.Now()))
	began := boottime.Now()
	l.provenAt.Store(int64(began))
	ends, err := l.fencePartitions(ctx)
	if err != nil {
		return err
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() {
		if err := l.writer.Run(ctx); err != nil && ctx.Err() == nil {
			cancel(&LeadershipLostError{Why: err.Error()})
		}
	})
	group.Go(func() { l.heartbeat(ctx) })
	list := l.readWorkerListAhead(ctx, &group)
	sched := region.New(l.cfg.Options)
	next, err := l.load(ctx, sched, ends)
	if err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	l.cfg.Log.WithFields(logrus.Fields{"fence": l.cfg.Fence, "load_ms": (boottime.Now() - began).Milliseconds(),
		"intake": next}).Info("leading")
	l.lastAppendAt.Store(int64(boottime.Now()))
	l.loadedAt.Store(int64(boottime.Now()))
	l.noteJobMemory(sched.JobMemory())
	l.loaded.Store(true)
	for part, from := range next {
		group.Go(func() { l.readIntake(ctx, part, from) })
	}
	group.Go(func() { l.watchWorkers(ctx, list) })
	l.loop(ctx, sched)
	l.cfg.Metrics.Gauge("job_memory_bytes").Update(0)
	return context.Cause(ctx)
}

// heartbeat appends heartbeats until loading is completed and the scheduler appends its own.
//
// It guards against hosts that claim the leadership from a leader that is still loading: each
// new leader would have to load as well, and with a slow log or a narrow link none would ever
// complete it.
func (l *Leader) heartbeat(ctx context.Context) {
	for !l.loaded.Load() {
		beat := &record.Entry{Fence: l.cfg.Fence, Kind: &record.Entry_AliveUnixMs{AliveUnixMs: time.Now().UnixMilli()}}
		data, err := proto.Marshal(beat)
		if err != nil {
			panic(err) // entries are built by this program and always encode
		}
		acked := make(chan struct{})
		l.writer.Write(data, func(ack logwriter.Ack) {
			l.lastAppendAt.Store(int64(boottime.Now()))
			l.provenAt.Store(int64(ack.SentAt))
			close(acked)
		})
		select {
		case <-ctx.Done():
			return
		case <-acked:
		}
		if !boottime.Sleep(ctx, heartbeatInterval) {
			return
		}
	}
}

// loop runs the scheduler, in the only goroutine that uses it after loading.
func (l *Leader) loop(ctx context.Context, sched *region.Scheduler) {
	d := &dispatcher{leader: l, ctx: ctx}
	d.execute(sched.Handle(boottime.Now(), region.Lead{Fence: l.cfg.Fence, ProvenAt: time.Duration(l.provenAt.Load())}))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var (
		config *model.Config
		drains *model.ZoneDrains
		hosts  adviceHosts
	)
	for {
		select {
		case <-ctx.Done():
			d.wait()
			return
		case ev := <-l.events.Items():
			l.apply(d, sched, ev)
			l.applyQueuedEvents(d, sched)
		case due := <-ticker.C:
			if z := l.cfg.ZoneDrains(); z != drains {
				drains = z
				d.execute(sched.Handle(boottime.Now(), region.ZoneDrainsRead{Drains: *z}))
			}
			if c := l.cfg.Config(); c != config {
				config = c
				d.execute(sched.Handle(boottime.Now(), region.ConfigRead{Config: c}))
			}
			if names := l.cfg.Hosts(); hosts.changed(names) {
				d.execute(sched.Handle(boottime.Now(), region.AdviceHostsChanged{Hosts: names}))
			}
			tick := region.Tick{UnixMs: time.Now().UnixMilli(), LoopLag: time.Since(due)}
			if l.cfg.LinkLoad != nil {
				tick.LinkLoad = l.cfg.LinkLoad()
			}
			l.apply(d, sched, tick)
		}
		d.execute(sched.Handle(boottime.Now(), region.Schedule{}))
	}
}

// applyQueuedEvents passes all queued events to the scheduler, so that one scheduling pass
// serves them all.
func (l *Leader) applyQueuedEvents(d *dispatcher, sched *region.Scheduler) {
	for {
		select {
		case ev := <-l.events.Items():
			l.apply(d, sched, ev)
		default:
			return
		}
	}
}

// apply passes an event to the scheduler. A read of the intake counts only from then on: until
// its records are applied, their jobs are unknown to callers.
func (l *Leader) apply(d *dispatcher, sched *region.Scheduler, ev region.Event) {
	commands := sched.Handle(boottime.Now(), ev)
	l.noteJobMemory(sched.JobMemory()) // before the jobs of the event are known to callers
	d.execute(commands)
	if read, ok := ev.(region.IntakeRead); ok && read.SentAt > 0 {
		l.intakeReadAt[read.Part].Store(int64(read.SentAt))
	}
}

func (l *Leader) noteJobMemory(bytes int64) {
	if l.jobMemory.Swap(bytes) != bytes {
		l.cfg.Metrics.Gauge("job_memory_bytes").Update(float64(bytes))
	}
}

// adviceHosts detects changes of the list of hosts that can be asked for advice.
type adviceHosts struct{ names []string }

func (h *adviceHosts) changed(names []string) bool {
	same := len(names) == len(h.names)
	for i := 0; same && i < len(names); i++ {
		same = names[i] == h.names[i]
	}
	h.names = names
	return !same
}

func (l *Leader) push(ctx context.Context, ev region.Event) { l.events.Push(ctx, ev) }
