package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
)

// prediction tracks the error of predicted start times.
type prediction struct {
	nextSampleAt monotonicTime // time from which the next sample may be taken
	accuracy     Accuracy
}

// Accuracy describes the error of predicted start times. Error and Wait are
// moving averages.
type Accuracy struct {
	Samples int           // jobs whose start was predicted on arrival and that have started
	Error   time.Duration // absolute difference of predicted and actual start
	Wait    time.Duration // actual wait of the same jobs
}

const (
	sampleInterval = 5 * time.Second // minimum time between two predictions on arrival
	averageWindow  = 8               // the newest sample has a weight of at least 1/averageWindow
)

// predictArrival predicts the start of a job that has to wait. It does so for a
// sample of the jobs, to measure the error of predictions.
func (s *Scheduler) predictArrival(j *job) {
	if s.opts.FirstFit || s.now < s.nextSampleAt || j.ended || s.mayStart(j.item.Class()) {
		return
	}
	s.nextSampleAt = s.now + sampleInterval
	if in, ok := s.predictStart(j); ok {
		j.predicted = s.now + in
	}
}

// recordStart updates the accuracy when a job with a prediction starts.
func (s *Scheduler) recordStart(j *job) {
	if j.predicted == 0 {
		return
	}
	missed, wait := (s.now - j.predicted).Abs(), s.now-j.accepted
	j.predicted = 0
	a := &s.accuracy
	a.Samples++
	part := time.Duration(min(a.Samples, averageWindow))
	a.Error += (missed - a.Error) / part
	a.Wait += (wait - a.Wait) / part
}

// predictStart returns the time until a waiting job is expected to start: when
// there is room for it, but not before its team's share of the zone has served
// the team's earlier work. It reports false if the job fits on no sampled
// workers.
func (s *Scheduler) predictStart(j *job) (time.Duration, bool) {
	if j.hold != nil {
		return max(j.hold.at-s.now, 0), true
	}
	at, _, ok := s.planner.earliest(s, j, place.BarHeld)
	if !ok {
		return 0, false
	}
	var ahead load
	for _, item := range s.queue.AheadOf(&j.item) {
		ahead = ahead.add(item.Owner.load)
	}
	return max(at-s.now, s.timeToServe(j.team, ahead)), true
}

// timeToServe returns the time that the zone needs to serve the load of a team.
// It assumes that the teams with waiting work share the zone by weight, and that
// no more work arrives.
//
// Meanwhile every other team is served in proportion to its weight until it has
// no waiting work left. The time is what the zone needs for all of this work.
func (s *Scheduler) timeToServe(t *team, teamLoad load) time.Duration {
	total := s.cell.Total()
	rounds := teamLoad.secondsOn(total) / float64(t.Weight)
	sum := teamLoad
	for _, other := range s.teamList {
		if other == t {
			continue
		}
		if all := other.load.secondsOn(total); all > 0 {
			sum = sum.add(other.load.times(min(1, float64(other.Weight)*rounds/all)))
		}
	}
	return seconds(sum.secondsOn(total))
}

// expectedWait returns how long new work of a team is expected to wait: behind
// the team's pressing work alone, or behind all work of the team. It assumes
// that the other teams keep using their entitled shares, because under overload
// their work keeps arriving.
func (s *Scheduler) expectedWait(t *team, pressing bool) time.Duration {
	ahead := t.load
	if pressing {
		ahead = t.pressingLoad
	}
	share := max(s.queue.Entitled(t.Team), s.queue.Share(t.Team))
	return seconds(ahead.secondsOn(s.cell.Total()) / max(share, minShare))
}

// minShare is the minimum divisor for expected waits, which keeps them finite.
const minShare = 1e-6
