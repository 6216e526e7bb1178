package region

import (
	"math"
	"slices"
	"time"
)

// speed is what is known of how fast a worker works, against the others: the natural
// logarithm of the ratio. Workers of one size and label may differ by half; the members of
// a gang end with the slowest of them, so that the room of the faster ones is held for
// nothing, and urgent work on a slow worker is late from its start.
type speed struct {
	log    float64
	weight float64 // of the samples in it
}

const (
	// gangSample and taskSample are the weights of a sample. Members of a gang all have
	// the same work, the tasks of other steps do not.
	gangSample = 4
	taskSample = 0.5
	// priorSample is the weight of the belief that a worker is as fast as the others.
	priorSample = 1
	// speedMemory bounds the weight of what was seen before, so that a worker that turns
	// slow is found out.
	speedMemory = 12
	// mostSpeed bounds a sample: beyond it a worker is in trouble, and how much does not
	// matter.
	mostSpeed = 1.5
	// leastCompared is how many runs are compared at least, and leastPercent how far a
	// member of a gang must be for its progress to tell its speed.
	leastCompared = 3
	leastPercent  = 15
)

// sample takes a sample into account.
func (v *speed) sample(log, weight float64) {
	log = min(max(log, -mostSpeed), mostSpeed)
	v.weight = min(v.weight+weight, speedMemory)
	v.log += (log - v.log) * weight / (v.weight + priorSample)
}

// paceOf is how fast one run was: work in a time, in any unit that its step's runs share.
type paceOf struct {
	worker *worker
	log    float64
}

// learnSpeeds compares the runs of one step. What they have in common is the median, which
// a few workers in trouble do not move.
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

// learnFromGang compares the members of a gang's run by how far each of them was when it
// was last looked at. All have worked since the last of them was there.
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

// learnFromStep compares the tasks of a step by how long each of them took, once all are
// done: before, those that are quick by themselves would seem to be on fast workers.
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

// runTimeOn returns how long a task of the step is expected to run on a worker.
func (st *step) runTimeOn(w *worker) time.Duration {
	return time.Duration(float64(st.job.runTime(st.rec)) * math.Exp(-w.speed.log))
}
