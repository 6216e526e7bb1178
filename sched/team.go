package sched

import (
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
)

// team is the state that the scheduler keeps for a team.
type team struct {
	*queue.Team[*job]
	number       int           // index in Scheduler.teamList
	limit        int64         // upper limit in units over the fleet; zero for none
	refusedUnits int64         // units refused last; math.MaxInt64 if none were
	refusedUntil monotonicTime // end of the refusal
	retrySet     bool          // a timer for a retry after the refusal is set
	load         load          // of the waiting tasks
	pressingLoad load          // of the waiting tasks of pressing jobs: urgent or with a deadline
	headJob      *job          // head of the team's queue when last planned
	headSince    monotonicTime // time from which headJob is at the head
	unitsInUse   int64
	stopping     resource.Vector // needs of the attempts being stopped
}

func (s *Scheduler) team(id ident.TeamID) *team {
	t, ok := s.teams[id]
	if !ok {
		t = &team{Team: s.queue.Team(id), number: len(s.teamList), refusedUnits: math.MaxInt64}
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
		t.refusedUnits = math.MaxInt64
		s.dirty = true
	}
}

// limitRetryDelay is the time after which refused units are requested again. The
// retry covers a lost LimitChanged event.
const limitRetryDelay = time.Second

// tryUse takes limit units for tasks that start. After a refusal, work of the
// team that needs as many units or more is skipped until units are returned.
// Once the refused work is due, all work of the team waits; otherwise smaller
// work would take every returned unit. This lasts Options.DueAfter at most, so
// work that never gets its units cannot block its team forever.
func (s *Scheduler) tryUse(t *team, units int64, due monotonicTime) bool {
	if s.opts.Limits.TryUse(t.ID, units) {
		t.unitsInUse += units
		return true
	}
	t.refusedUnits = units
	if s.now >= due && s.now < due+s.opts.DueAfter && !t.overLimit(units) {
		t.refusedUnits = 1
	}
	t.refusedUntil = s.now + limitRetryDelay
	if !t.retrySet {
		t.retrySet = true
		s.setTimer(timer{at: t.refusedUntil, kind: timerLimit, team: t})
	}
	s.emit(Want{Team: t.ID, Units: units})
	return false
}

// retryRefused retries after a refusal. If a later refusal is still in force,
// it sets the timer again.
func (s *Scheduler) retryRefused(t *team) {
	if s.now < t.refusedUntil {
		s.setTimer(timer{at: t.refusedUntil, kind: timerLimit, team: t})
		return
	}
	t.retrySet = false
	s.dirty = true
}

// overLimit reports whether the units exceed the team's upper limit and can
// never be granted together.
func (t *team) overLimit(units int64) bool { return t.limit > 0 && units > t.limit }

// blocked reports whether a refusal in force covers work that needs the units.
func (s *Scheduler) blocked(t *team, units int64) bool {
	return units >= t.refusedUnits && s.now < t.refusedUntil
}

// doneUnits returns limit units and clears the refusal.
func (s *Scheduler) doneUnits(t *team, units int64) {
	s.opts.Limits.Done(t.ID, units)
	t.unitsInUse -= units
	t.refusedUnits = math.MaxInt64
	s.dirty = true
}
