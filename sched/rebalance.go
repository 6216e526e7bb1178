package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
)

// A team whose work arrives when others have filled the zone gets its share
// only as fast as their tasks end. Where these may be displaced, a few of them
// at a time are checkpointed until the shares are near again. The room goes to
// the first in the order of waiting, which is the team with the lowest share.
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
		s.wake(s.rebalanceAt)
		return
	}
	s.rebalanceAt = s.now + rebalanceEvery
	demands := s.demands()
	under := s.mostUnder(demands)
	if under == nil {
		return
	}
	s.wake(s.rebalanceAt)
	need := under.First(s.unlimited).Shape.Need
	victims := s.overShare(demands, need)
	budget := 1 + s.cell.Len()/rebalancePart
	for _, a := range victims {
		d := &demands[a.team.number]
		part := a.need.Dominant(s.cell.Total())
		if budget == 0 {
			return
		}
		if d.Used-part < d.Fair {
			continue
		}
		d.Used -= part
		budget--
		s.stop(a, platform.ControlCheckpoint)
	}
}

// demands returns what each team uses and should have, by its number. Tasks
// that are being stopped count no longer.
func (s *Scheduler) demands() []queue.Demand {
	demands := make([]queue.Demand, len(s.teamList))
	for i, t := range s.teamList {
		used := t.Used.Sub(t.stopping).Dominant(s.cell.Total())
		demands[i] = queue.Demand{Weight: t.Weight, Used: used, Wants: used}
		if class := t.First(s.unlimited); class != nil && class.Shape.Gang == 0 {
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

// overShare returns, from a sample of the workers, the displaceable attempts of teams over their fair share
// whose room lets a task of the need start: those first that were displaced
// least and have run least.
func (s *Scheduler) overShare(demands []queue.Demand, need resource.Vector) []*attempt {
	var victims []*attempt
	n := len(s.hosts)
	for i := range min(n, planWorkers) {
		for _, a := range s.hosts[(i+int(s.seq))%n].attempts {
			d := &demands[a.team.number]
			if d.Used-d.Fair <= shareSlack || !s.displaceable(a) {
				continue
			}
			if need.Fits(s.cell.Worker(a.worker).Free.Add(a.need)) {
				victims = append(victims, a)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *attempt) int {
		if c := cmp.Compare(a.displaced(), b.displaced()); c != 0 {
			return c
		}
		return cmp.Compare(b.since, a.since)
	})
	return victims
}
