package place

import "github.com/fireflyfold/fireflyfold/resource"

// Spread counts the replicas of one service by worker and rack.
type Spread struct {
	workers map[Ref]int32
	racks   []int32
	most    int32
}

// NewSpread returns an empty count.
func NewSpread() *Spread { return &Spread{workers: map[Ref]int32{}} }

// On returns the replicas on a worker.
func (s *Spread) On(ref Ref) int32 { return s.workers[ref] }

// InRack returns the replicas in a rack.
func (s *Spread) InRack(rack int32) int32 {
	if int(rack) >= len(s.racks) {
		return 0
	}
	return s.racks[rack]
}

// Add counts one replica more (change 1) or less (change -1).
func (s *Spread) Add(c *Cell, ref Ref, change int32) {
	rack := c.workers[ref].Rack
	for int(rack) >= len(s.racks) {
		s.racks = append(s.racks, 0)
	}
	s.racks[rack] += change
	s.most = max(s.most, s.racks[rack])
	s.workers[ref] += change
	if s.workers[ref] == 0 {
		delete(s.workers, ref)
	}
}

// Spread returns a worker for one more replica: in a rack with the fewest of
// them that has room, the worker there with the fewest and the most room. It
// returns None if the need fits nowhere.
func (p *Placer) Spread(need resource.Vector, count *Spread, avoid Ref) Ref {
	for replicas := int32(0); replicas <= count.most; replicas++ {
		if ref := p.inRacksWith(replicas, need, count, avoid); ref != None {
			return ref
		}
	}
	return None
}

// inRacksWith returns the best worker over all racks with so many replicas.
func (p *Placer) inRacksWith(replicas int32, need resource.Vector, count *Spread, avoid Ref) Ref {
	p.ranking = ranking{need: need, avoid: avoid, count: count}
	best, lowest := None, int64(0)
	for rack := range p.cell.racks.workers {
		if count.InRack(int32(rack)) != replicas {
			continue
		}
		p.list.reset(p.cell.racks.workers[rack])
		ref := p.search(need, &p.list, 0, everyOne, spread)
		if ref == None {
			continue
		}
		score := spread(&p.ranking, ref, &p.cell.workers[ref])
		if best == None || score < lowest {
			best, lowest = ref, score
		}
	}
	return best
}
