package sched

import (
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/queue"
)

// A team whose work arrives when other teams fill the zone gets its fair share
// only as fast as their tasks end. Tasks that may be displaced are therefore
// checkpointed, a few at a time, until the shares are close to fair. Their
// workers are held for the team until the tasks have ended.
const (
	rebalanceInterval = time.Second
	workersPerVictim  = 24   // tasks displaced per round: one, and one more for each workersPerVictim workers
	shareTolerance    = 0.01 // tolerated distance from the fair share, as a fraction of the zone
)

// rebalance displaces tasks of teams above their fair share for the team that is
// furthest below its own. It runs at most once in rebalanceInterval.
func (s *Scheduler) rebalance() {
	if s.opts.KeepRunning || s.queue.Len() == 0 {
		return
	}
	if s.now < s.rebalanceAt {
		s.wake(&s.wakes.rebalance, s.rebalanceAt)
		return
	}
	s.rebalanceAt = s.now + rebalanceInterval
	demands := s.demands()
	under := s.mostUnder(demands)
	if under == nil {
		return
	}
	s.wake(&s.wakes.rebalance, s.rebalanceAt)
	j := under.First(s.limitAllows).Head().Owner
	over := func(a *attempt) bool {
		d := &demands[a.team.number]
		return d.Used-d.FairShare > shareTolerance
	}
	workers, found := s.victims(j.need, over, int64(1+s.cell.Len()/workersPerVictim))
	if found == 0 {
		return
	}
	for _, ref := range workers {
		s.checkpoint(ref, j.need, over)
	}
	s.holdDisplacing(workers, displacement{team: under})
}

// demands returns the used and the fair share of each team, by team number.
// Tasks that are being stopped are not counted.
func (s *Scheduler) demands() []queue.Demand {
	demands := make([]queue.Demand, len(s.teamList))
	for i, t := range s.teamList {
		used := t.Used.Sub(t.stopping).Dominant(s.cell.Total())
		demands[i] = queue.Demand{Weight: t.Weight, Used: used, Wants: used}
		if class := t.First(s.limitAllows); class != nil && class.Shape.Gang == 0 {
			demands[i].Wants = math.Inf(1)
		}
	}
	queue.SetFairShares(demands)
	return demands
}

// mostUnder returns the team with waiting work that is furthest below its fair
// share, or nil if none is below it by more than shareTolerance.
func (s *Scheduler) mostUnder(demands []queue.Demand) *team {
	var most *team
	deficit := shareTolerance
	for i, t := range s.teamList {
		d := &demands[i]
		if d.Wants > d.Used && d.FairShare-d.Used > deficit {
			most, deficit = t, d.FairShare-d.Used
		}
	}
	return most
}
