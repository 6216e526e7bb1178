package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// estimates corrects declared run times by what was seen: declared ones are up
// to 90% off, and off in the same way for all jobs of a queue.
type estimates struct {
	byQueue map[string]*queueEstimate
}

// queueEstimate is a running mean of real over declared run time.
type queueEstimate struct {
	ratio float64
	usual time.Duration // running mean of real run times; 0 before the first
	n     float64
}

const (
	// estimateMemory is how many ends a running mean spans.
	estimateMemory = 50
	// fallbackRunTime stands in for a run time that was not declared.
	fallbackRunTime = time.Second
)

func (e *estimates) of(queue string) *queueEstimate {
	if e.byQueue == nil {
		e.byQueue = make(map[string]*queueEstimate)
	}
	q, ok := e.byQueue[queue]
	if !ok {
		q = &queueEstimate{ratio: 1}
		e.byQueue[queue] = q
	}
	return q
}

// runTime returns how long a task of the step is expected to run.
func (j *job) runTime(st *record.Step) time.Duration {
	declared := time.Duration(st.EstimateMs) * time.Millisecond
	if declared <= 0 {
		declared = fallbackRunTime
	}
	return time.Duration(float64(declared) * j.queue.ratio)
}

// expectedEnd returns when a run is expected to end.
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

// learn takes an end into account.
func (s *Scheduler) learn(r *run, outcome record.Outcome) {
	switch outcome {
	case record.Outcome_OUTCOME_DONE:
		r.worker.health.done()
		if r.startedAt > 0 && r.task.step.rec.EstimateMs > 0 {
			q := r.task.step.job.queue
			took := s.now - r.startedAt
			if r.task.checkpoint == "" {
				r.task.ran, r.task.ranOn = took, r.worker
			}
			seen := float64(took) / float64(time.Duration(r.task.step.rec.EstimateMs)*time.Millisecond)
			q.n = min(q.n+1, estimateMemory)
			q.ratio += (seen - q.ratio) / q.n
			q.usual += time.Duration(float64(took-q.usual) / q.n)
		}
	case record.Outcome_OUTCOME_FAILED:
		r.worker.health.failed(s.now)
		if !r.worker.health.trusted(s.now) {
			s.explain("", "worker quarantined", Field{"worker", r.worker.entry.ID}, Field{"failures", r.worker.health.failures})
		}
	}
}

// stallAfter is how long a run may show no progress. Looks are up to 0.8 s apart,
// and the slowest sound tasks gain a percent in a second.
const stallAfter = 1500 * time.Millisecond

// progress notes how far a run is, and stops one that stands still: a worker on
// which tasks hang looks sound, as it answers and fails nothing. The run counts
// as no attempt and goes on elsewhere from its checkpoint. A gang's members are
// left alone: their progress does not tell which of them hangs.
func (s *Scheduler) progress(r *run, row model.Running) {
	st := r.task.step.rec
	if row.Percent != r.percent || r.movedAt == 0 {
		r.percent = row.Percent
		r.movedAt = s.now
		if !st.Gang && !st.LongRunning && s.crawls(r) {
			r.task.crawled = true
			r.worker.health.stalled(s.now)
			s.stopRun(r, "far slower than its queue's tasks are")
		}
		return
	}
	if st.Gang || st.LongRunning || r.phase != phaseRunning || s.now-r.movedAt < stallAfter {
		return
	}
	r.worker.health.stalled(s.now)
	s.stopRun(r, "no progress")
}

const (
	// crawlFactor times as long as expected is what a run must seem to take to count
	// as crawling: real run times spread to two and a half times their mean, and
	// sound workers are up to 1.6 times as fast as each other.
	crawlFactor = 4
	// crawlAfter is how long a run is watched before its pace is believed.
	crawlAfter = 300 * time.Millisecond
	// crawlLearned is how many ends of a queue are known before its usual run time
	// is believed.
	crawlLearned = 10
)

// crawls reports whether a run goes so slowly that it is over sooner if it is
// started again elsewhere. Its worker is slow then: it answers and fails nothing,
// and what runs there takes many times as long, so that urgent work comes too late.
//
// A task is moved once: one that really takes that long would otherwise be stopped
// again and again and never end.
func (s *Scheduler) crawls(r *run) bool {
	ran := s.now - r.startedAt
	st := r.task.step
	queue := st.job.queue
	if r.phase != phaseRunning || r.percent <= 0 || ran < crawlAfter || r.task.crawled || queue.n < crawlLearned {
		return false
	}
	expected := max(st.job.runTime(st.rec), queue.usual)
	whole := ran * 100 / time.Duration(r.percent)
	return whole > crawlFactor*expected && whole-ran > expected+restartTime
}

const (
	// quarantineAfter is how many failures in a row, with no success between,
	// take a worker out: one in twenty tasks fails by its own fault at most, so
	// that three in a row happen once in 8,000 on a sound worker.
	quarantineAfter = 3
	// quarantineFirst is the first time out; it doubles with each further
	// failure up to quarantineMost.
	quarantineFirst = 2 * time.Second
	quarantineMost  = 16 * time.Second
)

// health is what a worker's own acts say of it. A worker that fails all it
// starts is always idle and would draw all work.
type health struct {
	failures int // in a row
	outTo    time.Duration
}

func (h *health) done() { *h = health{} }

func (h *health) failed(now time.Duration) {
	h.failures++
	if h.failures < quarantineAfter {
		return
	}
	out := quarantineFirst << min(h.failures-quarantineAfter, 3)
	h.outTo = now + min(out, quarantineMost)
}

// stalled takes a worker out on which a task hangs: the next one would too.
func (h *health) stalled(now time.Duration) { h.outTo = max(h.outTo, now+quarantineFirst) }

func (h *health) refused(now time.Duration) { h.failed(now) }

func (h *health) trusted(now time.Duration) bool { return now >= h.outTo }

// failurePenalty ranks a worker with fresh failures behind others, in
// thousandths of a core.
const failurePenalty = 5000

func (h *health) penalty(time.Duration) float64 { return float64(h.failures) * failurePenalty }
