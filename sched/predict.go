package sched

import "time"

// prediction compares predicted starts with real ones.
type prediction struct {
	sampleAt timeOf // no sample before this time
	samples  int
	err      time.Duration // mean absolute error, moving average
}

const (
	sampleEvery = time.Second // shortest time between two jobs whose start is predicted on arrival
	errorPart   = 8           // the newest error counts one part in so many
)

// predictArrival predicts the start of a job that has to wait, for a sample
// of the jobs, so that the error of predictions is known.
func (s *Scheduler) predictArrival(j *job) {
	if s.opts.FirstFit || s.now < s.sampleAt || j.over || s.open(j.item.Class()) {
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
	missed := (s.now - j.predicted).Abs()
	j.predicted = 0
	s.samples++
	if s.samples == 1 {
		s.err = missed
		return
	}
	s.err += (missed - s.err) / errorPart
}

// predictStart returns the time until a waiting job is expected to start: when
// room for it is planned to come free, but not before the work that its team
// has ahead of it has gone through the team's share of the zone.
func (s *Scheduler) predictStart(j *job) (time.Duration, bool) {
	if j.hold != nil {
		return max(j.hold.at-s.now, 0), true
	}
	at, _, ok := s.planner.earliest(s, j)
	if !ok {
		return 0, false
	}
	ahead := 0.0
	for _, item := range s.queue.AheadOf(&j.item) {
		ahead += item.Owner.load
	}
	return max(at-s.now, seconds(ahead/s.usual(j.team))), true
}

// usual returns the share of the zone that a team is expected to have while
// its work waits: what it uses, but at least what it is entitled to.
func (s *Scheduler) usual(t *team) float64 {
	return max(s.queue.Entitled(t.Team), s.queue.Share(t.Team), leastShare)
}

// leastShare keeps predictions finite.
const leastShare = 1e-6

// expectedWait returns how long new work of a team is expected to wait if it
// comes after the pressing work alone, or after all work of the team.
func (s *Scheduler) expectedWait(t *team, pressing bool) time.Duration {
	load := t.load
	if pressing {
		load = t.deadlines
	}
	return seconds(max(load, 0) / s.usual(t))
}
