package sched

import (
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/queue"
)

// A team whose work arrives when others have filled the zone gets its share
// only as fast as their tasks end. Where these may be displaced, a few of them
// at a time are checkpointed until the shares are near again, and their workers
// are held for that team until they have ended.
const (
	rebalanceEvery = time.Second
	rebalancePart  = 24   // one task a round for so many workers
	shareSlack     = 0.01 // distance from the fair share, as part of the zone, that is left alone
)

// rebalance displaces tasks of teams that are over their fair share, for a
// team that is under its own.
func (s *Scheduler) rebalance() {
	if s.opts.KeepRunning || s.queue.Len() == 0 {
		return
	}
	if s.now < s.rebalanceAt {
		s.wake(&s.wakes.rebalance, s.rebalanceAt)
		return
	}
	s.rebalanceAt = s.now + rebalanceEvery
	demands := s.demands()
	under := s.mostUnder(demands)
	if under == nil {
		return
	}
	s.wake(&s.wakes.rebalance, s.rebalanceAt)
	j := under.First(s.limitAllows).Head().Owner
	over := func(a *attempt) bool {
		d := &demands[a.team.number]
		return d.Used-d.Fair > shareSlack
	}
	workers, found := s.victims(j.need, over, int64(1+s.cell.Len()/rebalancePart))
	if found == 0 {
		return
	}
	for _, ref := range workers {
		s.checkpoint(ref, j.need, over)
	}
	s.holdDisplacing(workers, displacement{team: under})
}

// demands returns what each team uses and should have, by its number. Tasks
// that are being stopped count no longer.
func (s *Scheduler) demands() []queue.Demand {
	demands := make([]queue.Demand, len(s.teamList))
	for i, t := range s.teamList {
		used := t.Used.Sub(t.stopping).Dominant(s.cell.Total())
		demands[i] = queue.Demand{Weight: t.Weight, Used: used, Wants: used}
		if class := t.First(s.limitAllows); class != nil && class.Shape.Gang == 0 {
			demands[i].Wants = math.Inf(1)
		}
	}
	queue.Divide(demands)
	return demands
}

// mostUnder returns the team that lacks most of its fair share and has work
// waiting, or nil.
func (s *Scheduler) mostUnder(demands []queue.Demand) *team {
	var most *team
	lacks := shareSlack
	for i, t := range s.teamList {
		d := &demands[i]
		if d.Wants > d.Used && d.Fair-d.Used > lacks {
			most, lacks = t, d.Fair-d.Used
		}
	}
	return most
}
