package region

import (
	"math"
	"slices"
	"time"
)

// speed estimates how fast a worker is relative to the others, as the natural logarithm
// of the ratio. Workers of one size and label may differ by half. A gang ends with its
// slowest member, and the resources of faster members are idle meanwhile; urgent work on
// a slow worker is late from its start.
type speed struct {
	logRatio float64
	weight   float64 // total weight of its samples
}

const (
	// gangSampleWeight and taskSampleWeight are the weights of a sample. The members of
	// a gang all have the same amount of work, the tasks of other steps do not.
	gangSampleWeight = 4
	taskSampleWeight = 0.5
	// priorWeight is the weight of the initial estimate that a worker is as fast as the
	// others.
	priorWeight = 1
	// maxSpeedWeight bounds the weight of earlier samples, so that a worker that becomes
	// slow is detected.
	maxSpeedWeight = 12
	// maxSpeedSample bounds a sample, as a logarithm. A worker beyond it has a fault, and
	// how large the difference is does not matter.
	maxSpeedSample = 1.5
	// minComparedRuns is the least number of runs that are compared, and minGangPercent
	// the least progress at which a gang member counts.
	minComparedRuns = 3
	minGangPercent  = 15
)

// add adds a sample to the estimate.
func (v *speed) add(log, weight float64) {
	log = min(max(log, -maxSpeedSample), maxSpeedSample)
	v.weight = min(v.weight+weight, maxSpeedWeight)
	v.logRatio += (log - v.logRatio) * weight / (v.weight + priorWeight)
}

// runSpeed is the speed of one run, as the logarithm of work per time in a unit that all
// runs of its step share.
type runSpeed struct {
	worker *worker
	log    float64
}

// learnSpeeds compares the runs of one step. The amount of work that they share is
// estimated by the median, which a few faulty workers do not move.
func learnSpeeds(runs []runSpeed, weight float64) {
	if len(runs) < minComparedRuns {
		return
	}
	common := make([]float64, 0, len(runs))
	for _, r := range runs {
		common = append(common, r.log-r.worker.speed.logRatio)
	}
	slices.Sort(common)
	median := (common[(len(common)-1)/2] + common[len(common)/2]) / 2
	for _, r := range runs {
		r.worker.speed.add(r.log-median, weight)
	}
}

// learnFromGang compares the members of a gang's run by their last reported progress,
// counted from the start of the last member, when all began to work.
func (s *Scheduler) learnFromGang(st *step, number int32) {
	var began time.Duration
	for _, t := range st.tasks {
		if t.run != nil && t.run.number == number {
			began = max(began, t.run.startedAt)
		}
	}
	var runs []runSpeed
	for _, t := range st.tasks {
		if r := t.run; r != nil && r.number == number && r.percent >= minGangPercent && r.progressedAt > began {
			runs = append(runs, runSpeed{r.worker, math.Log(float64(r.percent) / (r.progressedAt - began).Seconds())})
		}
	}
	learnSpeeds(runs, gangSampleWeight)
}

// learnFromStep compares the tasks of a step by their run times once all are done.
// Compared earlier, short tasks would seem to have run on fast workers.
func (s *Scheduler) learnFromStep(st *step) {
	if st.rec.Gang {
		return
	}
	var runs []runSpeed
	for _, t := range st.tasks {
		if t.ranOn != nil && t.runTime > 0 {
			runs = append(runs, runSpeed{t.ranOn, -math.Log(t.runTime.Seconds())})
		}
	}
	learnSpeeds(runs, taskSampleWeight)
}

// runTimeOn returns the expected run time of a task of the step on a worker.
func (st *step) runTimeOn(w *worker) time.Duration {
	return time.Duration(float64(st.job.runTime(st.rec)) * math.Exp(-w.speed.logRatio))
}
