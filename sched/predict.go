package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
)

// prediction compares predicted starts with real ones.
type prediction struct {
	sampleAt timeOf // no sample before this time
	accuracy Accuracy
}

// Accuracy is how predicted starts compared with real ones. Both times are
// moving averages.
type Accuracy struct {
	Samples int           // jobs whose start was predicted on arrival
	Error   time.Duration // absolute
	Wait    time.Duration // real wait of the same jobs
}

const (
	sampleEvery = 5 * time.Second // shortest time between two jobs whose start is predicted on arrival
	errorPart   = 8               // the newest sample counts one part in so many
)

// predictArrival predicts the start of a job that has to wait, for a sample
// of the jobs, so that the error of predictions is known.
func (s *Scheduler) predictArrival(j *job) {
	if s.opts.FirstFit || s.now < s.sampleAt || j.over || s.mayStart(j.item.Class()) {
		return
	}
	s.sampleAt = s.now + sampleEvery
	if in, ok := s.predictStart(j); ok {
		j.predicted = s.now + in
	}
}

// predictionDue takes the start of a job into account.
func (s *Scheduler) predictionDue(j *job) {
	if j.predicted == 0 {
		return
	}
	missed, wait := (s.now - j.predicted).Abs(), s.now-j.accepted
	j.predicted = 0
	a := &s.accuracy
	a.Samples++
	part := time.Duration(min(a.Samples, errorPart))
	a.Error += (missed - a.Error) / part
	a.Wait += (wait - a.Wait) / part
}

// predictStart returns the time until a waiting job is expected to start: when
// room for it is planned to come free, but not before the work that its team
// has ahead of it has gone through the team's share of the zone.
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
	return max(at-s.now, s.drained(j.team, ahead)), true
}

// drained returns the time until so much waiting work of a team has started,
// if the zone is shared by weight between the teams with waiting work and no
// more arrives.
//
// While a team works off its load at a rate of its weight, each other team
// works off its own at the rate of its weight, until it has none left. The
// time is what the zone needs for all that is worked off meanwhile.
func (s *Scheduler) drained(t *team, own load) time.Duration {
	total := s.cell.Total()
	rounds := own.over(total) / float64(t.Weight)
	sum := own
	for _, other := range s.teamList {
		if other == t {
			continue
		}
		if all := other.load.over(total); all > 0 {
			sum = sum.add(other.load.times(min(1, float64(other.Weight)*rounds/all)))
		}
	}
	return seconds(sum.over(total))
}

// expectedWait returns how long new work of a team is expected to wait if it
// comes after the pressing work alone, or after all work of the team. It
// assumes that other teams go on to use what they are entitled to, because
// under overload their work goes on to arrive.
func (s *Scheduler) expectedWait(t *team, pressing bool) time.Duration {
	ahead := t.load
	if pressing {
		ahead = t.deadlines
	}
	share := max(s.queue.Entitled(t.Team), s.queue.Share(t.Team))
	return seconds(ahead.over(s.cell.Total()) / max(share, leastShare))
}

// leastShare keeps expected waits finite.
const leastShare = 1e-6
