package sched

import (
	"math"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/queue"
)

// team is what the scheduler keeps of a team.
type team struct {
	*queue.Team[*job]
	refused    int64   // units that were refused last; math.MaxInt64 if none were
	load       float64 // share of the zone times seconds that waiting tasks need
	deadlines  float64 // the same, of jobs with a deadline or urgent ones only
	headJob    *job    // the job that is due first, when last looked at
	headSince  timeOf
	unitsInUse int64
}

func (s *Scheduler) team(id ident.TeamID) *team {
	t, ok := s.teams[id]
	if !ok {
		t = &team{Team: s.queue.Team(id), refused: math.MaxInt64}
		s.teams[id] = t
	}
	return t
}

func (s *Scheduler) teamsChanged(teams []Team) {
	listed := make(map[ident.TeamID]bool, len(teams))
	for _, t := range teams {
		listed[t.ID] = true
		s.queue.SetWeight(s.team(t.ID).Team, t.Weight)
	}
	s.queue.ResetWeights(func(id ident.TeamID) bool { return listed[id] })
	s.dirty = true
}

func (s *Scheduler) limitChanged(id ident.TeamID) {
	if t, ok := s.teams[id]; ok {
		t.refused = math.MaxInt64
		s.dirty = true
	}
}

// tryUse takes limit units for tasks that start. If they are refused, work of
// the team that needs as many is passed over until units come back; once the
// refused job is due, all work of the team waits, so that smaller work does
// not use up every unit that comes back.
func (s *Scheduler) tryUse(t *team, units int64, due timeOf) bool {
	if s.opts.Limits.TryUse(t.ID, units) {
		t.unitsInUse += units
		return true
	}
	t.refused = units
	if s.now >= due {
		t.refused = 1
	}
	s.emit(Want{Team: t.ID, Units: units})
	return false
}

// doneUnits gives limit units back.
func (s *Scheduler) doneUnits(t *team, units int64) {
	s.opts.Limits.Done(t.ID, units)
	t.unitsInUse -= units
	t.refused = math.MaxInt64
	s.dirty = true
}
