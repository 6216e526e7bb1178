package sched

import (
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
)

// team is what the scheduler keeps of a team.
type team struct {
	*queue.Team[*job]
	number     int    // in the order of first events
	limit      int64  // upper limit over the fleet; zero if there is none
	refused    int64  // units that were refused last; math.MaxInt64 if none were
	refusedTil timeOf // after this the refusal counts no longer
	retrying   bool   // a timer for the end of the refusal is set
	load       load   // of the tasks that wait
	deadlines  load   // the same, of jobs with a deadline or urgent ones only
	headJob    *job   // the job that is due first, when last looked at
	headSince  timeOf
	unitsInUse int64
	stopping   resource.Vector // needs of the attempts that are being stopped
}

func (s *Scheduler) team(id ident.TeamID) *team {
	t, ok := s.teams[id]
	if !ok {
		t = &team{Team: s.queue.Team(id), number: len(s.teamList), refused: math.MaxInt64}
		s.teams[id] = t
		s.teamList = append(s.teamList, t)
	}
	return t
}

func (s *Scheduler) teamsChanged(teams []Team) {
	listed := make(map[ident.TeamID]bool, len(teams))
	for _, t := range teams {
		listed[t.ID] = true
		known := s.team(t.ID)
		known.limit = t.Limit
		s.queue.SetWeight(known.Team, t.Weight)
	}
	for id, t := range s.teams {
		if !listed[id] {
			t.limit = 0
		}
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

// refusalFor is how long a refusal of units counts before they are tried again,
// in case the word that more units came was lost.
const refusalFor = time.Second

// tryUse takes limit units for tasks that start. If they are refused, work of
// the team that needs as many is passed over until units come back. Once the
// refused work is due, all work of the team waits, so that smaller work does
// not use up every unit that comes back; but only for as long again, so that
// work over the limit never stops its team for good.
func (s *Scheduler) tryUse(t *team, units int64, due timeOf) bool {
	if s.opts.Limits.TryUse(t.ID, units) {
		t.unitsInUse += units
		return true
	}
	t.refused = units
	if s.now >= due && s.now < due+s.opts.Patience && !t.overLimit(units) {
		t.refused = 1
	}
	t.refusedTil = s.now + refusalFor
	if !t.retrying {
		t.retrying = true
		s.after(timer{at: t.refusedTil, kind: timerLimit, team: t})
	}
	s.emit(Want{Team: t.ID, Units: units})
	return false
}

// refusalPassed tries again after a refusal, or goes on waiting if there was
// another one meanwhile.
func (s *Scheduler) refusalPassed(t *team) {
	if s.now < t.refusedTil {
		s.after(timer{at: t.refusedTil, kind: timerLimit, team: t})
		return
	}
	t.retrying = false
	s.dirty = true
}

// overLimit reports whether so many units are never granted at once.
func (t *team) overLimit(units int64) bool { return t.limit > 0 && units > t.limit }

// blocked reports whether the upper limit stops work that needs the units.
func (s *Scheduler) blocked(t *team, units int64) bool {
	return units >= t.refused && s.now < t.refusedTil
}

// doneUnits gives limit units back.
func (s *Scheduler) doneUnits(t *team, units int64) {
	s.opts.Limits.Done(t.ID, units)
	t.unitsInUse -= units
	t.refused = math.MaxInt64
	s.dirty = true
}
