package region

import (
	"time"
)

const (
	// sampleAfter is how long the progress of a run is observed before its run time is
	// projected from it. It is the same for all runs: the ends of runs come in order of their
	// length, and the first ones to be seen would all be short.
	sampleAfter = 300 * time.Millisecond
	// minSampleProgress is the least progress, in percent, from which a run time is projected
	// for the estimates of a queue. Progress is reported in whole percent.
	minSampleProgress = 3
	// maxSampleStart is the most progress, in percent, that a run may have had when it was
	// first observed, if its end is to count: the little that was left tells little.
	maxSampleStart = 70
)

// observation is the part of a run's work that this leader has seen. A run that an earlier
// leader assigned was under way before, one that resumes from a checkpoint does not begin at
// zero and restores first, and a gang's begins when its last member has started.
type observation struct {
	since       time.Duration // 0 before it begins
	fromPercent int
	sampled     bool // its run time is in the estimates of its queue
}

// rounding returns by how many percent reported progress is too low on average since the
// observation began: a start is at zero, while a first report is rounded down like later ones.
func (o *observation) rounding() float64 {
	if o.fromPercent == 0 {
		return 0.5
	}
	return 0
}

// observeFromStart begins the observation of a run that starts now at zero.
func (r *run) observeFromStart(now time.Duration) {
	if r.phase != phaseInherited && !r.resumed && !r.task.step.rec.Gang {
		r.observed.since, r.observed.fromPercent = now, r.percent
	}
}

// observeProgress begins the observation of any other run when its progress has changed since
// an earlier report. Before that it may wait for other members of its gang or restore its
// checkpoint, at the percentage of the checkpoint: a pause of its start, not a slow worker.
func (r *run) observeProgress(now time.Duration) {
	if r.observed.since == 0 {
		r.observed.since, r.observed.fromPercent = now, r.percent
	}
}

// observedProgress returns for how long the progress of a run was observed and how many
// percent it gained meanwhile. ok is false before sampleAfter, and without progress.
func (r *run) observedProgress(now time.Duration) (seen time.Duration, gained int, ok bool) {
	seen, gained = now-r.observed.since, r.percent-r.observed.fromPercent
	return seen, gained, r.observed.since > 0 && seen >= sampleAfter && gained > 0
}

// minProjectedRunTime returns how long the whole run takes at least if it goes on as observed:
// progress is reported in whole percent.
func (r *run) minProjectedRunTime(now time.Duration) (total time.Duration, ok bool) {
	seen, gained, ok := r.observedProgress(now)
	if !ok {
		return 0, false
	}
	return seen * 100 / time.Duration(gained+1), true
}

// runTimeAtEnd returns how long a run that is done now took as a whole. ok is false if too
// little of it was observed.
func (r *run) runTimeAtEnd(now time.Duration) (total time.Duration, ok bool) {
	if r.observed.since == 0 || r.observed.fromPercent > maxSampleStart {
		return 0, false
	}
	return (now - r.observed.since) * 100 / time.Duration(100-r.observed.fromPercent), true
}

// sampleRunTime adds the projected run time of a run to the estimates of its queue, once.
func (s *Scheduler) sampleRunTime(r *run) {
	seen, gained, ok := r.observedProgress(s.now)
	if ok && gained >= minSampleProgress && !r.task.step.rec.LongRunning {
		r.addSample(time.Duration(float64(seen) * 100 / (float64(gained) + r.observed.rounding())))
	}
}

// addSample adds a run time to the estimates of the run's queue, unless the run is in them.
func (r *run) addSample(total time.Duration) {
	declared := time.Duration(r.task.step.rec.EstimateMs) * time.Millisecond
	if r.observed.sampled || declared <= 0 {
		return
	}
	r.observed.sampled = true
	r.task.step.job.queue.add(total, declared)
}

// learnFromEnd updates what is known of run times with a run that is done.
func (s *Scheduler) learnFromEnd(r *run) {
	total, ok := r.runTimeAtEnd(s.now)
	if !ok {
		return
	}
	if r.task.checkpoint == "" && r.observed.fromPercent == 0 {
		r.task.runTime, r.task.ranOn = total, r.worker
	}
	r.addSample(total)
}
