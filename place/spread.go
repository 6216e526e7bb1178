package place

import "github.com/fireflyfold/fireflyfold/resource"

// ReplicaCounts counts the replicas of one service by worker and rack.
type ReplicaCounts struct {
	workers    map[Ref]int32
	racks      []int32
	maxPerRack int32
}

// NewReplicaCounts returns counts without replicas.
func NewReplicaCounts() *ReplicaCounts { return &ReplicaCounts{workers: map[Ref]int32{}} }

// On returns the number of replicas on a worker.
func (s *ReplicaCounts) On(ref Ref) int32 { return s.workers[ref] }

// InRack returns the number of replicas in a rack.
func (s *ReplicaCounts) InRack(rack int32) int32 {
	if int(rack) >= len(s.racks) {
		return 0
	}
	return s.racks[rack]
}

// Add adds delta to the replicas on a worker and in its rack: 1 for a new
// replica, -1 for one that has ended.
func (s *ReplicaCounts) Add(c *Cell, ref Ref, delta int32) {
	rack := c.workers[ref].Rack
	for int(rack) >= len(s.racks) {
		s.racks = append(s.racks, 0)
	}
	s.racks[rack] += delta
	s.maxPerRack = max(s.maxPerRack, s.racks[rack])
	s.workers[ref] += delta
	if s.workers[ref] == 0 {
		delete(s.workers, ref)
	}
}

// Spread returns a worker for one more replica, or None if the need fits no
// worker. It takes the racks with the fewest replicas that have a feasible
// worker, and in these the worker with the fewest replicas, then the most free
// resources. It returns the worker avoid only if no other in these racks fits.
func (p *Placer) Spread(need resource.Vector, counts *ReplicaCounts, avoid Ref) Ref {
	for perRack := int32(0); perRack <= counts.maxPerRack; perRack++ {
		if ref := p.searchRacksWith(perRack, need, counts, avoid); ref != None {
			return ref
		}
	}
	return None
}

// searchRacksWith returns the best worker in all racks with perRack replicas,
// or None.
func (p *Placer) searchRacksWith(perRack int32, need resource.Vector, counts *ReplicaCounts, avoid Ref) Ref {
	p.scoring = scoring{need: need, avoid: avoid, counts: counts}
	best, lowest := None, int64(0)
	for rack := range p.cell.racks.workers {
		if counts.InRack(int32(rack)) != perRack {
			continue
		}
		p.list.reset(p.cell.racks.workers[rack])
		ref := p.search(need, &p.list, 0, noLimit, scoreSpread)
		if ref == None {
			continue
		}
		score := scoreSpread(&p.scoring, ref, &p.cell.workers[ref])
		if best == None || score < lowest {
			best, lowest = ref, score
		}
	}
	return best
}
