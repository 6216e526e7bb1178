package sched

import (
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// family holds run statistics of the jobs of one team with one name. They serve
// predictions and ranking, never to admit more than is declared.
type family struct {
	runs        int
	mean        float64 // run time in seconds, moving average
	deviation   float64 // mean absolute deviation of the run time, in seconds
	ends        int
	failureRate float64 // failure rate from 0 to 1, moving average
}

const (
	maxFamilies        = 4096             // kept at once; the oldest is evicted first
	minLearnRate       = 0.125            // least weight of the newest run in the averages
	minLearnedRuns     = 3                // from this many runs on, the mean replaces the declared run time
	defaultRunTime     = 10 * time.Minute // assumed if no run time is declared or learned
	cautiousDeviations = 2                // deviations added to the mean where a late end would delay a held job
)

type familyKey struct {
	team ident.TeamID
	name string
}

// families holds at most maxFamilies families and evicts the oldest.
type families struct {
	byKey map[familyKey]*family
	byAge []familyKey
	next  int
}

func newFamilies() families { return families{byKey: map[familyKey]*family{}} }

func (f *families) of(team ident.TeamID, name string) *family {
	key := familyKey{team, name}
	if known, ok := f.byKey[key]; ok {
		return known
	}
	if len(f.byAge) < maxFamilies {
		f.byAge = append(f.byAge, key)
	} else {
		delete(f.byKey, f.byAge[f.next])
		f.byAge[f.next] = key
		f.next = (f.next + 1) % maxFamilies
	}
	made := &family{}
	f.byKey[key] = made
	return made
}

// learnRun updates the statistics with the end of an attempt. Attempts that
// were refused, stopped or lost are ignored.
func (s *Scheduler) learnRun(j *job, e ending) {
	if e.refused || e.stopped || e.lost {
		return
	}
	f := j.family
	f.recordOutcome(e.failed)
	if e.failed {
		return
	}
	ran := e.ran.Seconds()
	f.runs++
	if f.runs == 1 {
		f.mean = ran
		return
	}
	rate := max(minLearnRate, 1/float64(f.runs))
	f.deviation += (math.Abs(ran-f.mean) - f.deviation) * rate
	f.mean += (ran - f.mean) * rate
}

// recordOutcome updates the failure rate. The first failure of new work gives a
// rate of one half, which blames neither the work nor the worker; the second in
// a row raises it above brokenWorkRate, which blames the work.
func (f *family) recordOutcome(failed bool) {
	const guesses = 2
	rate := max(minLearnRate, 1/float64(f.ends+guesses))
	f.ends++
	target := 0.0
	if failed {
		target = 1
	}
	f.failureRate += (target - f.failureRate) * rate
}

// estimate returns the expected run time of a task of the job.
func (s *Scheduler) estimate(j *job) time.Duration {
	if j.family.runs >= minLearnedRuns {
		return seconds(j.family.mean)
	}
	if j.spec.Run > 0 {
		return j.spec.Run
	}
	return defaultRunTime
}

// cautiousEstimate returns a run time that few tasks of the job exceed.
func (s *Scheduler) cautiousEstimate(j *job) time.Duration {
	if j.family.runs >= minLearnedRuns {
		return seconds(j.family.mean + cautiousDeviations*j.family.deviation)
	}
	return s.estimate(j)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateLoad updates the job's load and the sums of its team.
func (s *Scheduler) updateLoad(j *job) {
	var work load
	if waiting := j.waiting(); waiting > 0 {
		work = loadOf(j.need, float64(waiting)*s.estimate(j).Seconds())
	}
	change := work.sub(j.load)
	j.load = work
	j.team.load = j.team.load.add(change)
	if j.pressing() {
		j.team.pressingLoad = j.team.pressingLoad.add(change)
	}
}

// pressing reports whether the job has a deadline or is urgent, and so comes
// before the other work of its team.
func (j *job) pressing() bool { return j.spec.Deadline > 0 || j.spec.Urgent }
