package place

// rackSet assigns numbers to racks and lists the workers of each.
type rackSet struct {
	names   []string
	numbers map[string]int32
	workers [][]Ref
}

func newRackSet() rackSet { return rackSet{numbers: map[string]int32{}} }

func (r *rackSet) add(workers []Worker, ref Ref, name string) {
	rack, ok := r.numbers[name]
	if !ok {
		rack = int32(len(r.names))
		r.numbers[name] = rack
		r.names = append(r.names, name)
		r.workers = append(r.workers, nil)
	}
	w := &workers[ref]
	w.Rack = rack
	w.rackPos = int32(len(r.workers[rack]))
	r.workers[rack] = append(r.workers[rack], ref)
}

func (r *rackSet) remove(workers []Worker, ref Ref) {
	w := &workers[ref]
	list := r.workers[w.Rack]
	last := list[len(list)-1]
	list[w.rackPos] = last
	workers[last].rackPos = w.rackPos
	r.workers[w.Rack] = list[:len(list)-1]
}

// Racks returns the number of racks seen so far, including empty ones.
func (c *Cell) Racks() int { return len(c.racks.names) }

// RackName returns the name of the rack with the given number.
func (c *Cell) RackName(rack int32) string { return c.racks.names[rack] }
