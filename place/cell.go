package place

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Ref is the position of a worker in a Cell. It is valid until the worker is
// removed and may then be given to another worker.
type Ref int32

// None is no worker.
const None Ref = -1

// Bars are the reasons for which a worker takes no new task, as a set of bits.
type Bars uint8

// The bars, in the order in which an explanation names them.
const (
	BarCordoned    Bars = 1 << iota // its lease is not held, or an operator set it aside
	BarLeaving                      // a planned removal
	BarQuarantined                  // fails what it starts
	BarProbing                      // runs a single trial task after a quarantine
	BarBackoff                      // refused a start moments ago
	BarHeld                         // kept for another job
)

// Worker is the state of one worker. It is changed only through its Cell.
type Worker struct {
	ID     ident.WorkerID
	Rack   int32
	Size   resource.Vector
	Free   resource.Vector // size less reservations; negative only if the worker shrank
	Bars   Bars
	Tasks  int32
	Excess int64 // milli-processors that tasks were measured to use above their needs

	bucket int32 // in the index; noBucket if the worker is not in it
	place  int32 // within the bucket
	inRack int32
}

// Cell is the workers of one zone and the room on them.
type Cell struct {
	workers []Worker
	refs    map[ident.WorkerID]Ref
	unused  []Ref
	racks   rackSet
	index   index
	freed   freedLog
	total   resource.Vector // of all workers
	open    resource.Vector // free on workers without bars
}

// NewCell returns a cell without workers.
func NewCell() *Cell {
	return &Cell{refs: map[ident.WorkerID]Ref{}, racks: newRackSet(), index: newIndex()}
}

// Compute returns the part of v that the compute lease of a worker governs:
// processors, memory and accelerators.
func Compute(v resource.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.MilliCPU, MemoryMiB: v.MemoryMiB, Accelerators: v.Accelerators}
}

// Add adds a worker, or sets the size of a known one, and its rack if nothing
// runs on it.
func (c *Cell) Add(id ident.WorkerID, rack string, size resource.Vector) Ref {
	size = Compute(size)
	if ref, ok := c.refs[id]; ok {
		c.resize(ref, rack, size)
		return ref
	}
	ref := c.newRef()
	c.refs[id] = ref
	c.workers[ref] = Worker{ID: id, Size: size, Free: size, bucket: noBucket}
	c.racks.add(c.workers, ref, rack)
	c.total = c.total.Add(size)
	c.enter(ref)
	return ref
}

func (c *Cell) newRef() Ref {
	if n := len(c.unused); n > 0 {
		ref := c.unused[n-1]
		c.unused = c.unused[:n-1]
		return ref
	}
	c.workers = append(c.workers, Worker{})
	return Ref(len(c.workers) - 1)
}

func (c *Cell) resize(ref Ref, rack string, size resource.Vector) {
	w := &c.workers[ref]
	c.leave(ref)
	c.total = c.total.Sub(w.Size).Add(size)
	w.Free = w.Free.Sub(w.Size).Add(size)
	w.Size = size
	if w.Tasks == 0 && c.racks.names[w.Rack] != rack {
		c.racks.remove(c.workers, ref)
		c.racks.add(c.workers, ref, rack)
	}
	c.enter(ref)
}

// Remove forgets a worker and everything that is reserved on it.
func (c *Cell) Remove(ref Ref) {
	w := &c.workers[ref]
	c.leave(ref)
	c.racks.remove(c.workers, ref)
	c.total = c.total.Sub(w.Size)
	delete(c.refs, w.ID)
	*w = Worker{bucket: noBucket, Bars: BarCordoned}
	c.unused = append(c.unused, ref)
}

// Lookup returns the position of a worker.
func (c *Cell) Lookup(id ident.WorkerID) (Ref, bool) {
	ref, ok := c.refs[id]
	return ref, ok
}

// Worker returns a worker to read from.
func (c *Cell) Worker(ref Ref) *Worker { return &c.workers[ref] }

// Len returns the number of workers.
func (c *Cell) Len() int { return len(c.refs) }

// Refs returns the number of positions, used or not.
func (c *Cell) Refs() int { return len(c.workers) }

// Known reports whether ref holds a worker now.
func (c *Cell) Known(ref Ref) bool { return c.workers[ref].ID != "" }

// Total returns the sum of the sizes of all workers.
func (c *Cell) Total() resource.Vector { return c.total }

// Open returns the free room on workers that take new tasks.
func (c *Cell) Open() resource.Vector { return c.open }

// Bar sets a reason for which the worker takes no new task.
func (c *Cell) Bar(ref Ref, bar Bars) {
	w := &c.workers[ref]
	if w.Bars&bar != 0 {
		return
	}
	c.leave(ref)
	w.Bars |= bar
}

// Unbar clears a reason for which the worker takes no new task.
func (c *Cell) Unbar(ref Ref, bar Bars) {
	w := &c.workers[ref]
	if w.Bars&bar == 0 {
		return
	}
	w.Bars &^= bar
	c.enter(ref)
}

// Reserve takes room for one task. It reports false, and changes nothing, if
// the need is over what is free.
func (c *Cell) Reserve(ref Ref, need resource.Vector) bool {
	if !need.Fits(c.workers[ref].Free) {
		return false
	}
	c.Adopt(ref, need)
	return true
}

// Adopt takes room for a task that runs already, whether it fits or not.
func (c *Cell) Adopt(ref Ref, need resource.Vector) {
	w := &c.workers[ref]
	w.Free = w.Free.Sub(need)
	w.Tasks++
	if w.Bars == 0 {
		c.open = c.open.Sub(need)
		c.index.move(c.workers, ref)
	}
}

// Release gives the room of one task back.
func (c *Cell) Release(ref Ref, need resource.Vector) {
	c.Undo(ref, need)
	if c.workers[ref].Bars&^BarHeld == 0 {
		c.freed.add(ref)
	}
}

// Undo gives back a reservation that was never used, so that no waiting work
// is looked at again because of it.
func (c *Cell) Undo(ref Ref, need resource.Vector) {
	w := &c.workers[ref]
	w.Free = w.Free.Add(need)
	w.Tasks--
	if w.Bars == 0 {
		c.open = c.open.Add(need)
		c.index.move(c.workers, ref)
	}
}

// Measured changes the sum of what the worker's tasks use above their needs.
func (c *Cell) Measured(ref Ref, change int64) { c.workers[ref].Excess += change }

// enter makes the worker a candidate for new tasks, if it has no bars.
func (c *Cell) enter(ref Ref) {
	w := &c.workers[ref]
	if w.Bars != 0 || w.bucket != noBucket {
		return
	}
	c.open = c.open.Add(w.Free)
	c.index.insert(c.workers, ref)
	c.freed.add(ref)
}

// leave ends what enter began.
func (c *Cell) leave(ref Ref) {
	w := &c.workers[ref]
	if w.bucket == noBucket {
		return
	}
	c.open = c.open.Sub(w.Free)
	c.index.remove(c.workers, ref)
}

// Largest returns, for each resource on its own, the most that any worker has.
func (c *Cell) Largest() resource.Vector {
	var most resource.Vector
	for i := range c.workers {
		size := c.workers[i].Size
		most.MilliCPU = max(most.MilliCPU, size.MilliCPU)
		most.MemoryMiB = max(most.MemoryMiB, size.MemoryMiB)
		most.Accelerators = max(most.Accelerators, size.Accelerators)
	}
	return most
}

// Slots returns how many tasks of the need the sizes of all workers hold, up
// to most. Barred workers count: they may come back.
func (c *Cell) Slots(need resource.Vector, most int64) int64 {
	slots := int64(0)
	for i := range c.workers {
		if c.workers[i].ID != "" {
			slots += Count(need, c.workers[i].Size, most-slots)
		}
		if slots >= most {
			return most
		}
	}
	return slots
}

// Count returns how many tasks of the need fit the room, up to most.
func Count(need, room resource.Vector, most int64) int64 {
	n := max(most, 0)
	for _, pair := range [...][2]int64{
		{need.MilliCPU, room.MilliCPU},
		{need.MemoryMiB, room.MemoryMiB},
		{need.Accelerators, room.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, max(pair[1], 0)/pair[0])
		}
	}
	return n
}
