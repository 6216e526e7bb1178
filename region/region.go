// Package region is the scheduler of all workers of a region. One host leads and
// runs it; every other host can take over. It is a state machine without I/O,
// clock or goroutines: Handle takes the time and an event and returns commands,
// which the driver (package leader) executes.
//
// Invariants:
//
//   - Every assignment is committed to the log before its start is sent, so a
//     new leader knows every run that may be alive, and on which worker.
//   - The host list decides only which workers get new tasks. A worker with runs is probed, told
//     to stop them and granted leases also without an entry.
//   - A worker on standby has no runs and gets no starts. It is probed only until what an earlier
//     leader has left there is acknowledged. It is activated, and answers a probe, before it gets work.
//   - Every end of a run is committed to the log before it is acknowledged to the
//     worker, which then drops it.
//   - The log rejects appends of a replaced leader, and a worker rejects calls
//     with a fencing token below the highest it has seen.
//   - A run that may be alive is not started elsewhere until its worker reports
//     its end or has a new incarnation, or its lease has certainly expired.
//   - No start is sent to a worker of a drained zone, or, where operators set a bound for
//     drains, while the drained zones are not known recently enough to keep it.
//   - A start call without an answer may still be executed, also by a later
//     incarnation of its worker. While that is possible, its run has not ended: the
//     task is not started elsewhere, and an end that the worker lists is neither
//     recorded nor acknowledged.
//   - Once an end as done was read, no run of its task is started, although the end may have
//     to wait: it is remembered, and recorded for the next leader.
//   - Every start call that a later incarnation could execute is committed to the
//     log before it is sent, so a new leader knows how many there may be.
package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/workset"
)

// Options are the bounds set by the platform and the settings of this scheduler.
type Options struct {
	MaxLease        time.Duration // workers shorten a longer lease to this
	Lease           time.Duration // the longest lease that the scheduler grants
	ZoneDrain       time.Duration // maximum time until no task starts in a drained zone; 0 for no bound
	StopTime        time.Duration // maximum time until a worker has stopped a run
	RestoreTime     time.Duration // how long a run restores its checkpoint before it works
	LogRetention    time.Duration // age at which records of the log expire
	StatusRetention time.Duration // how long the state of a finished job can be queried
	StartsPerS      float64       // starts per second that the driver's link carries beside its other traffic; 0 for no limit
	RecordBytes     int           // size of the largest record that the log accepts; 0 for defaultRecordBytes
	MinActive       int           // least number of active workers of a service that has as many; 0 for workset.DefaultMin
}

const (
	// leadershipProofTTL is how long a successful append proves that no other host leads.
	// During a longer log outage, leases are no longer renewed and expire. A new leader
	// waits this long and a lease before it counts a run on an unreachable worker as
	// lost. 4 s covers the usual outages of 3 to 5 s together with a lease of 6 s.
	leadershipProofTTL = 4 * time.Second
	// clockDrift is the largest share by which a worker's clock may run slower than the
	// scheduler's.
	clockDrift = 0.02
	// lapseMargin is added to the computed end of a lease, since a worker needs some
	// time to stop its runs.
	lapseMargin = 300 * time.Millisecond
	// logStall is how long the log may commit nothing before new assignments stop:
	// about ten times its usual latency, and less than a ticket is valid. The limit is
	// logStallFactor times the latency of the newest append if that is longer.
	logStall       = 250 * time.Millisecond
	logStallFactor = 1.5
	// defaultRecordBytes is the limit of the platform's log where the settings name none.
	defaultRecordBytes = 256 << 10
	// leaderHeartbeatInterval is the longest pause between appends of a leader. Other hosts
	// count a leader as failed after two to three such pauses. A leader with work appends
	// more often.
	leaderHeartbeatInterval = 100 * time.Millisecond
)

// Scheduler is the state machine. It is not safe for concurrent use.
type Scheduler struct {
	opts   Options
	now    time.Duration
	unixMs int64 // time of day at the last tick
	fence  int64 // fencing token of this leadership; 0 before it

	config *model.Config
	drains zoneDrains
	jobs   map[string]*job
	// jobMemory is a bound of the memory in bytes that the jobs take up.
	jobMemory int64
	// cancelledEarly holds when cancellations were read whose jobs have not been read
	// yet.
	cancelledEarly map[cancellation]time.Duration
	// replayedCancels are the jobs whose cancellations were read before leadership began.
	replayedCancels    []*job
	workers            map[string]*worker
	departed           departed
	workerList         []*worker            // workers in a stable order
	active             []*worker            // those that are not on standby, in a stable order
	leaving            []*worker            // draining workers of which it is known when they may leave
	byAddress          map[string][]*worker // workers by the address of their incarnation
	pools              map[string]*pool     // workers by service
	poolList           []*pool              // pools in a stable order
	resizedAt          time.Duration        // when the pools were last compared with the demand
	slots              slotAllocator
	usableNow          []*worker // workers that can take new work, in this pass
	fittingBuf         []*worker // result buffer of fitting
	claims             []claim   // buffer of claimRoom
	ready              readyList // steps with waiting tasks, most urgent first
	used               map[string]model.Resources
	advisers           advisers
	adviceTiers        adviceTiers
	periodic           []*job // jobs with further occurrences
	written            []*job // jobs whose records may have to be written again, in the order of writtenAt
	finished           []*job // jobs in the order they ended
	compacted          int    // how many of them are compacted
	losses             lossTable
	openLosses         []*loss // losses in the order of at
	shown              shownCrashes
	suspects           map[*task]bool // tasks that are isolated
	lateStartRuns      []*run         // runs of awaitLateStart
	doneEnds           []*task        // tasks with an end of rememberDone
	terms              terms
	reachedBy          map[string]int64 // fencing token of the newest earlier leader that has recorded to have reached a worker
	inheritedCalls     []*run           // runs of noteInheritedCalls
	inherited          inheritedReport
	inheritedPublished bool   // publishInherited has published their jobs
	pathChecks         []*run // runs of checkPath
	estimates          estimates
	shares             shares

	entries          []*record.Entry  // entries produced by this call of Handle
	seq              int64            // number of the last entry produced
	committed        int64            // number of the last entry committed
	appendLatency    time.Duration    // latency of the newest append
	lastProofAt      time.Duration    // when the newest successful append was sent
	lastAppendAt     time.Duration    // when an entry was last produced
	uncommittedSince time.Duration    // the oldest uncommitted entry has waited since then or longer
	commitCallbacks  []commitCallback // callbacks that wait for a commit, by entry number
	leadSince        time.Duration
	leadSinceUnixMs  int64
	// meanAnswerTime is a running mean of the time in which workers answer a start or stop.
	meanAnswerTime time.Duration
	loopLag        time.Duration // running mean of how long events wait for the driver
	listening      listening
	linkLoad       float64       // share of the driver's link in use
	fullAt         time.Duration // when linkLoad was last above fullLink
	dirty          bool          // a change may allow a task to start
	lastPass       time.Duration
	waits          waitWatch
	freeBounds     freeBounds
	gangRooms      []gangRoom
	reservable     reservablePlaces // of the gang that reserves now
	overload       overload
	outageLines    outageLines
	endsAcked      int64 // ends acknowledged since the last tick
	pacer          startPacer
	tailStart      [numClasses]int // where the next pass resumes trying the tail of each class

	out []Command
}

// commitCallback is a callback that runs once the entry with number seq is committed.
type commitCallback struct {
	seq int64
	do  func()
}

// New returns a scheduler that has read nothing and does not lead.
func New(opts Options) *Scheduler {
	opts.MinActive = cmp.Or(opts.MinActive, workset.DefaultMin)
	opts.RecordBytes = cmp.Or(opts.RecordBytes, defaultRecordBytes)
	return &Scheduler{
		opts:           opts,
		jobs:           make(map[string]*job),
		cancelledEarly: make(map[cancellation]time.Duration),
		workers:        make(map[string]*worker),
		byAddress:      make(map[string][]*worker),
		pools:          make(map[string]*pool),
		used:           make(map[string]model.Resources),
		suspects:       make(map[*task]bool),
		reachedBy:      make(map[string]int64),
	}
}

// Handle applies one event and returns the commands to execute. now must not go back. The
// result is valid until the next call.
func (s *Scheduler) Handle(now time.Duration, ev Event) []Command {
	s.now = now
	s.out = s.out[:0]
	s.apply(ev)
	s.flush()
	return s.out
}

func (s *Scheduler) apply(ev Event) {
	switch ev := ev.(type) {
	case IntakeRead:
		s.intake(ev)
	case EntriesRead:
		s.replay(ev.Entries)
	case Lead:
		s.lead(ev)
	case ConfigRead:
		s.config = ev.Config
		if ev.Config != nil {
			s.adviceTiers = adviceTiersOf(ev.Config)
		}
		s.dirty = true
	case ZoneDrainsRead:
		s.drainsRead(ev.Drains)
	case WorkerListed:
		s.workerListed(ev.Entry)
	case WorkerUnlisted:
		s.workerUnlisted(ev.ID)
	case Committed:
		s.onCommitted(ev)
	case ProbeAnswered:
		s.probeAnswered(ev)
	case StartAnswered:
		s.startAnswered(ev)
	case StopAnswered:
		s.stopAnswered(ev)
	case AdviceAnswered:
		s.adviceAnswered(ev)
	case AdviceHostsChanged:
		s.advisers.set(ev.Hosts, s.now)
	case Tick:
		s.tick(ev)
	case Schedule:
		s.schedule()
	}
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

func (s *Scheduler) explain(job, what string, fields ...Field) {
	s.emit(Explain{Job: job, Message: what, Fields: fields})
}

// leading reports whether this scheduler may call workers.
func (s *Scheduler) leading() bool { return s.fence > 0 }

// leadershipConfirmed reports whether a recent append has proved that no other host leads.
//
// The guard is against a leader that cannot reach the log or was paused: it would
// continue to renew leases of workers that the new leader cannot reach, and the new
// leader would start their tasks elsewhere. One task would then run twice. The guard holds
// because the new leader waits for leadershipProofTTL and a lease from its claim on, which
// is later than the last append of the earlier leader.
func (s *Scheduler) leadershipConfirmed() bool { return s.now-s.lastProofAt < leadershipProofTTL }

// logStalled reports whether entries are in flight and the log has committed nothing
// for too long. More assignments would only queue behind those entries, and take room
// from more urgent work that arrives before the log recovers.
func (s *Scheduler) logStalled() bool {
	stall := max(logStall, time.Duration(logStallFactor*float64(s.appendLatency)))
	return s.seq > s.committed && s.now-s.uncommittedSince > stall
}

// append adds an entry to the next Append and returns its number.
func (s *Scheduler) append(e *record.Entry) int64 {
	if s.seq == s.committed {
		s.uncommittedSince = s.now
	}
	s.seq++
	e.Fence, e.Seq = s.fence, s.seq
	s.entries = append(s.entries, e)
	s.lastAppendAt = s.now
	return s.seq
}

// afterCommit runs do once the entry with number seq is committed.
func (s *Scheduler) afterCommit(seq int64, do func()) {
	if seq <= s.committed {
		do()
		return
	}
	s.commitCallbacks = append(s.commitCallbacks, commitCallback{seq: seq, do: do})
}

func (s *Scheduler) flush() {
	if len(s.entries) == 0 {
		return
	}
	s.emit(Append{Entries: s.entries, Seq: s.seq})
	s.entries = nil
}

func (s *Scheduler) onCommitted(ev Committed) {
	s.committed = ev.Seq
	s.appendLatency = s.now - ev.SentAt
	s.uncommittedSince = s.now
	s.lastProofAt = max(s.lastProofAt, ev.SentAt)
	n := 0
	for n < len(s.commitCallbacks) && s.commitCallbacks[n].seq <= ev.Seq {
		n++
	}
	due := s.commitCallbacks[:n]
	s.commitCallbacks = s.commitCallbacks[n:]
	for _, a := range due {
		a.do()
	}
}

// lead begins leadership. Runs of earlier leaders are confirmed when their workers
// answer.
//
// The guard is against a leader that was paused, or cut off from the log, after it had fenced off
// earlier ones and before it leads: by then another one may lead, and may not wait for the leases
// of one that counts its leadership as proved from now on.
func (s *Scheduler) lead(ev Lead) {
	s.applyReplayedCancels()
	s.fence = ev.Fence
	s.leadSince, s.leadSinceUnixMs = s.now, s.unixMs
	s.lastProofAt = ev.ProvenAt
	s.lastAppendAt = s.now
	s.listening.tickAt = s.now
	s.noteInheritedCalls()
	for _, w := range s.workerList {
		w.unread = true
		s.takeOver(w)
	}
	s.reportInherited()
	slices.SortStableFunc(s.written, func(a, b *job) int { return cmp.Compare(a.writtenAt, b.writtenAt) })
	slices.SortStableFunc(s.finished, func(a, b *job) int { return cmp.Compare(a.endedAt, b.endedAt) })
	for _, j := range s.jobs {
		s.publish(j)
	}
	s.watchInherited()
	s.dirty = true
}

func (s *Scheduler) tick(ev Tick) {
	s.unixMs = ev.UnixMs
	s.loopLag += (ev.LoopLag - s.loopLag) / delaySamples
	s.linkLoad = ev.LinkLoad
	if s.linkLoad > fullLink {
		s.fullAt = s.now
	}
	if !s.leading() {
		return
	}
	s.noteTick()
	s.countAcknowledged()
	s.checkDrainAge()
	s.addDueOccurrences()
	s.expireRuns()
	s.publishInherited()
	s.evictLeaving()
	s.reportUnreached()
	s.sendOverdueProbes()
	s.resizePools()
	s.recordTerm()
	s.settleLateStarts()
	s.applyDoneEnds()
	s.expirePathChecks()
	s.departed.expire(s.now)
	s.expireLosses()
	s.judgeCrashes()
	s.retireJobs()
	s.compactEnded()
	s.rewriteOld()
	s.reportWaits()
	s.dirty = true
	if s.now-s.lastAppendAt >= leaderHeartbeatInterval {
		s.append(&record.Entry{Kind: &record.Entry_AliveUnixMs{AliveUnixMs: ev.UnixMs}})
	}
}
