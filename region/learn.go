package region

import (
	"github.com/fireflyfold/fireflyfold/adviceplan"

	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// estimates corrects declared run times by observed ones. Declared run times are up to
// 90% off, in the same direction for all jobs of a queue.
type estimates struct {
	byQueue map[string]*queueEstimate
	list    []*queueEstimate // in the order in which the queues were first used
}

// queueEstimate holds the observed run times of a queue.
type queueEstimate struct {
	name    string
	ratio   float64       // running mean of observed over declared run time
	usual   time.Duration // running mean of observed run times; 0 before the first
	samples float64       // runs in the means, at most estimateWindow

	eligible       adviceplan.Share // of workers, by the answers of the advice service
	scarcity       adviceplan.Scarcity
	adviceHeldBack bool // since the last pass, all hosts had calls to wait for

	recent  [estimateWindow]sample // the newest runs, in a ring
	next    int
	typical sample // medians of recent
}

// sample is the run time of a run, and its ratio to the declared one.
type sample struct {
	ratio   float64
	runTime time.Duration
}

const (
	// estimateWindow is how many runs a running mean spans.
	estimateWindow = 50
	// fallbackRunTime is assumed where no run time was declared.
	fallbackRunTime = time.Second
)

func (e *estimates) forQueue(queue string) *queueEstimate {
	if e.byQueue == nil {
		e.byQueue = make(map[string]*queueEstimate)
	}
	q, ok := e.byQueue[queue]
	if !ok {
		q = &queueEstimate{name: queue, ratio: 1}
		e.byQueue[queue] = q
		e.list = append(e.list, q)
	}
	return q
}

// add adds an observed run time of a task that declared another one.
func (q *queueEstimate) add(observed, declared time.Duration) {
	q.samples = min(q.samples+1, estimateWindow)
	q.ratio += (float64(observed)/float64(declared) - q.ratio) / q.samples
	q.usual += time.Duration(float64(observed-q.usual) / q.samples)
	q.recent[q.next%estimateWindow] = sample{ratio: float64(observed) / float64(declared), runTime: observed}
	q.next++
	q.typical = medians(q.recent[:min(q.next, estimateWindow)])
}

// medians returns the median ratio and the median run time of samples.
func medians(samples []sample) sample {
	ratios, runTimes := make([]float64, len(samples)), make([]time.Duration, len(samples))
	for i, x := range samples {
		ratios[i], runTimes[i] = x.ratio, x.runTime
	}
	slices.Sort(ratios)
	slices.Sort(runTimes)
	return sample{ratio: ratios[len(ratios)/2], runTime: runTimes[len(runTimes)/2]}
}

// runTime returns the expected run time of a task of the step.
func (j *job) runTime(st *record.Step) time.Duration {
	return time.Duration(float64(declaredRunTime(st)) * j.queue.ratio)
}

// declaredRunTime returns the run time that the caller declared for a task of the step.
func declaredRunTime(st *record.Step) time.Duration {
	if declared := time.Duration(st.EstimateMs) * time.Millisecond; declared > 0 {
		return declared
	}
	return fallbackRunTime
}

// expectedEnd returns when a run is expected to end; the run of a long-running task
// never is.
func (r *run) expectedEnd() time.Duration {
	if r.task.step.rec.LongRunning {
		return 1<<62 - 1
	}
	from := r.startedAt
	if from == 0 {
		from = r.assigned
	}
	return from + r.task.step.runTimeOn(r.worker)
}

// learn updates the health of the run's worker and the estimates of its queue with the
// end of a run.
func (s *Scheduler) learn(r *run, outcome record.Outcome) {
	switch outcome {
	case record.Outcome_OUTCOME_DONE:
		r.worker.health.done()
		s.learnFromEnd(r)
	case record.Outcome_OUTCOME_FAILED:
		r.worker.health.failed(s.now)
		if !r.worker.health.healthy(s.now) {
			s.explain("", "worker quarantined", Field{"worker", r.worker.entry.ID}, Field{"failures", r.worker.health.failures})
		}
	}
}

const (
	// stallTimeout is how long a run that works may show no progress at least. Probes are up to 0.8 s
	// apart, and the slowest tasks of usual length gain one percent in a second.
	stallTimeout = 1500 * time.Millisecond
	// maxStallDoublings bounds by how much a task's earlier stops lengthen the time-out.
	maxStallDoublings = 12
)

// progressTimeout returns how long the run may show no progress. Workers report whole percents, so a long
// task shows none for long. One that has resumed first restores its checkpoint.
//
// The guard is against a healthy task that is stopped again and again and never ends: its run time may
// be far from what was declared, so the time-out doubles from its second stop on.
func (s *Scheduler) progressTimeout(r *run) time.Duration {
	percent := declaredRunTime(r.task.step.rec) / 100
	timeout := max(stallTimeout, stragglerFactor*percent) << min(max(r.task.stalls-1, 0), maxStallDoublings)
	if r.observed.since == 0 && r.task.checkpoint != "" {
		timeout += s.opts.RestoreTime
	}
	return timeout
}

// progress records the progress of a run and stops a run without progress. A worker on
// which tasks hang otherwise seems healthy, as it answers and no task on it fails. The
// stop does not count as an attempt, and the task continues elsewhere from its
// checkpoint. Gang members are not stopped, because their progress does not show which
// of them hangs.
func (s *Scheduler) progress(r *run, row model.Running) {
	st := r.task.step.rec
	first := !r.reported
	r.reported = true
	if row.Percent != r.percent || r.progressedAt == 0 {
		r.percent = row.Percent
		r.progressedAt = s.now
		if !first {
			r.observeProgress(s.now)
		}
		s.sampleRunTime(r)
		if !st.Gang && !st.LongRunning && s.isStraggler(r) {
			r.task.movedOffSlow = true
			r.worker.health.stalled(s.now)
			s.stopRun(r, "far slower than its queue's tasks are")
		}
		return
	}
	if st.Gang || st.LongRunning || r.phase != phaseRunning || s.now-r.progressedAt < s.progressTimeout(r) {
		return
	}
	r.worker.health.stalled(s.now)
	r.task.stalls++
	s.stopRun(r, "no progress")
}

const (
	// stragglerFactor is how many times its expected run time a run must be projected to
	// take to count as a straggler. Real run times reach two and a half times their
	// mean, and healthy workers are up to 1.6 times as fast as each other.
	stragglerFactor = 4
	// stragglerMinSamples is how many observed runs of a queue are needed before its run
	// times are used for this.
	stragglerMinSamples = 10
)

// isStraggler reports whether a run is a straggler that would end sooner if it were
// started again elsewhere. Its worker is then slow: it answers and no task on it fails,
// but runs there take many times as long, and urgent work ends too late.
//
// A task is moved at most once. One that really takes that long would otherwise be
// stopped again and again and never end.
func (s *Scheduler) isStraggler(r *run) bool {
	st := r.task.step
	queue := st.job.queue
	projected, ok := r.minProjectedRunTime(s.now)
	if !ok || r.phase != phaseRunning || r.task.movedOffSlow || queue.samples < stragglerMinSamples {
		return false
	}
	expected := max(time.Duration(float64(declaredRunTime(st.rec))*queue.typical.ratio), queue.typical.runTime)
	left := projected * time.Duration(100-r.percent) / 100
	return projected > stragglerFactor*expected && left > expected+restartTime
}

const (
	// quarantineAfter is how many failures in a row, without a success between, put a
	// worker into quarantine. At most one task in twenty fails by its own fault, so
	// three in a row occur once in 8,000 cases on a healthy worker.
	quarantineAfter = 3
	// minQuarantine is the first time in quarantine. It doubles with each further
	// failure, up to maxQuarantine.
	minQuarantine = 2 * time.Second
	maxQuarantine = 16 * time.Second
)

// health tracks the failures of a worker. A worker that fails every task it starts is
// always idle and would attract all work.
type health struct {
	failures  int           // in a row
	releaseAt time.Duration // end of the quarantine
}

func (h *health) done() { *h = health{} }

func (h *health) failed(now time.Duration) {
	h.failures++
	if h.failures < quarantineAfter {
		return
	}
	period := minQuarantine << min(h.failures-quarantineAfter, 3)
	h.releaseAt = now + min(period, maxQuarantine)
}

// stalled puts a worker on which a task hangs into quarantine, since the next task
// would hang too.
func (h *health) stalled(now time.Duration) { h.releaseAt = max(h.releaseAt, now+minQuarantine) }

func (h *health) refused(now time.Duration) { h.failed(now) }

func (h *health) healthy(now time.Duration) bool { return now >= h.releaseAt }

// failurePenalty ranks a worker with recent failures behind others, in thousandths of a
// core for each failure.
const failurePenalty = 5000

func (h *health) penalty(time.Duration) float64 { return float64(h.failures) * failurePenalty }
