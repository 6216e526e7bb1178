package region

import (
	"math"
	"slices"
	"time"
)

// speed estimates how fast a worker is relative to the others, as the natural logarithm
// of the ratio. Workers of one size and label may differ by half. A gang ends with its
// slowest member, and the room of faster members is held idle meanwhile; urgent work on
// a slow worker is late from its start.
type speed struct {
	log    float64
	weight float64 // total weight of its samples
}

const (
	// gangSample and taskSample are the weights of a sample. The members of a gang all
	// have the same amount of work, the tasks of other steps do not.
	gangSample = 4
	taskSample = 0.5
	// priorSample is the weight of the initial estimate that a worker is as fast as the
	// others.
	priorSample = 1
	// speedMemory bounds the weight of earlier samples, so that a worker that becomes
	// slow is detected.
	speedMemory = 12
	// mostSpeed bounds a sample, as a logarithm. A worker beyond it has a fault, and
	// how large the difference is does not matter.
	mostSpeed = 1.5
	// leastCompared is the least number of runs that are compared, and leastPercent the
	// least progress at which a gang member counts.
	leastCompared = 3
	leastPercent  = 15
)

// sample adds a sample to the estimate.
func (v *speed) sample(log, weight float64) {
	log = min(max(log, -mostSpeed), mostSpeed)
	v.weight = min(v.weight+weight, speedMemory)
	v.log += (log - v.log) * weight / (v.weight + priorSample)
}

// paceOf is the speed of one run, as the logarithm of work per time in a unit that all
// runs of its step share.
type paceOf struct {
	worker *worker
	log    float64
}

// learnSpeeds compares the runs of one step. The amount of work that they share is
// estimated by the median, which a few faulty workers do not move.
func learnSpeeds(runs []paceOf, weight float64) {
	if len(runs) < leastCompared {
		return
	}
	common := make([]float64, 0, len(runs))
	for _, r := range runs {
		common = append(common, r.log-r.worker.speed.log)
	}
	slices.Sort(common)
	median := (common[(len(common)-1)/2] + common[len(common)/2]) / 2
	for _, r := range runs {
		r.worker.speed.sample(r.log-median, weight)
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
	var runs []paceOf
	for _, t := range st.tasks {
		if r := t.run; r != nil && r.number == number && r.percent >= leastPercent && r.movedAt > began {
			runs = append(runs, paceOf{r.worker, math.Log(float64(r.percent) / (r.movedAt - began).Seconds())})
		}
	}
	learnSpeeds(runs, gangSample)
}

// learnFromStep compares the tasks of a step by their run times once all are done.
// Compared earlier, short tasks would seem to have run on fast workers.
func (s *Scheduler) learnFromStep(st *step) {
	if st.rec.Gang {
		return
	}
	var runs []paceOf
	for _, t := range st.tasks {
		if t.ranOn != nil && t.ran > 0 {
			runs = append(runs, paceOf{t.ranOn, -math.Log(t.ran.Seconds())})
		}
	}
	learnSpeeds(runs, taskSample)
}

// runTimeOn returns the expected run time of a task of the step on a worker.
func (st *step) runTimeOn(w *worker) time.Duration {
	return time.Duration(float64(st.job.runTime(st.rec)) * math.Exp(-w.speed.log))
}
