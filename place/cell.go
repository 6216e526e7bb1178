package place

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Ref is the position of a worker in a Cell. It is valid until the worker is
// removed; after that the position may be reused for another worker.
type Ref int32

// None is the Ref that stands for no worker.
const None Ref = -1

// Bars is a bit set of the reasons why a worker is unschedulable, that is,
// takes no new tasks.
type Bars uint8

// The bars, in the order in which an explanation reports them.
const (
	BarCordoned    Bars = 1 << iota // its lease is not held, or an operator cordoned it
	BarLeaving                      // draining for a planned removal
	BarQuarantined                  // quarantined because its tasks failed
	BarProbing                      // runs a single trial task after a quarantine
	BarBackoff                      // refused a start recently
	BarHeld                         // reserved for another job
)

// Worker is the state of one worker. It is modified only through its Cell.
type Worker struct {
	ID     ident.WorkerID
	Rack   int32
	Size   resource.Vector
	Free   resource.Vector // Size less reservations; negative if Size was reduced or Adopt exceeded it
	Bars   Bars
	Tasks  int32
	Excess int64 // milli-CPU that tasks were measured to use beyond their needs

	bucket    int32 // in the index; noBucket if the worker is not indexed
	bucketPos int32 // position in the bucket
	rackPos   int32 // position in the list of its rack
}

// Cell holds the workers of one zone and their free resources.
type Cell struct {
	workers   []Worker
	refs      map[ident.WorkerID]Ref
	unused    []Ref
	racks     rackSet
	index     index
	freed     freedLog
	total     resource.Vector // sizes of all workers
	available resource.Vector // free on workers without bars
}

// NewCell returns a cell without workers.
func NewCell() *Cell {
	return &Cell{refs: map[ident.WorkerID]Ref{}, racks: newRackSet(), index: newIndex()}
}

// ComputeResources returns the resources in v that the compute lease of a
// worker covers: CPU, memory and accelerators.
func ComputeResources(v resource.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.MilliCPU, MemoryMiB: v.MemoryMiB, Accelerators: v.Accelerators}
}

// Add adds a worker and returns its position. If the worker is known, Add
// updates its size, and its rack if no tasks run on it.
func (c *Cell) Add(id ident.WorkerID, rack string, size resource.Vector) Ref {
	size = ComputeResources(size)
	if ref, ok := c.refs[id]; ok {
		c.resize(ref, rack, size)
		return ref
	}
	ref := c.newRef()
	c.refs[id] = ref
	c.workers[ref] = Worker{ID: id, Size: size, Free: size, bucket: noBucket}
	c.racks.add(c.workers, ref, rack)
	c.total = c.total.Add(size)
	c.addCandidate(ref)
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
	c.removeCandidate(ref)
	c.total = c.total.Sub(w.Size).Add(size)
	w.Free = w.Free.Sub(w.Size).Add(size)
	w.Size = size
	if w.Tasks == 0 && c.racks.names[w.Rack] != rack {
		c.racks.remove(c.workers, ref)
		c.racks.add(c.workers, ref, rack)
	}
	c.addCandidate(ref)
}

// Remove removes a worker and all reservations on it.
func (c *Cell) Remove(ref Ref) {
	w := &c.workers[ref]
	c.removeCandidate(ref)
	c.racks.remove(c.workers, ref)
	c.total = c.total.Sub(w.Size)
	delete(c.refs, w.ID)
	*w = Worker{bucket: noBucket, Bars: BarCordoned}
	c.unused = append(c.unused, ref)
}

// Lookup returns the position of a worker and whether the worker is known.
func (c *Cell) Lookup(id ident.WorkerID) (Ref, bool) {
	ref, ok := c.refs[id]
	return ref, ok
}

// Worker returns the worker at ref. Callers must not modify it.
func (c *Cell) Worker(ref Ref) *Worker { return &c.workers[ref] }

// Len returns the number of workers.
func (c *Cell) Len() int { return len(c.refs) }

// Refs returns the number of positions, including unused ones.
func (c *Cell) Refs() int { return len(c.workers) }

// Known reports whether a worker is at position ref.
func (c *Cell) Known(ref Ref) bool { return c.workers[ref].ID != "" }

// Total returns the sum of the sizes of all workers.
func (c *Cell) Total() resource.Vector { return c.total }

// Available returns the sum of the free resources on workers without bars.
func (c *Cell) Available() resource.Vector { return c.available }

// Bar sets a bar on the worker, which excludes it from placement.
func (c *Cell) Bar(ref Ref, bar Bars) {
	w := &c.workers[ref]
	if w.Bars&bar != 0 {
		return
	}
	c.removeCandidate(ref)
	w.Bars |= bar
}

// Unbar clears bars of the worker. Without any bar left, the worker is a
// candidate again.
func (c *Cell) Unbar(ref Ref, bar Bars) {
	w := &c.workers[ref]
	if w.Bars&bar == 0 {
		return
	}
	w.Bars &^= bar
	c.addCandidate(ref)
}

// Reserve reserves resources for one task. It changes nothing and returns
// false if the need exceeds the free resources.
func (c *Cell) Reserve(ref Ref, need resource.Vector) bool {
	if !need.Fits(c.workers[ref].Free) {
		return false
	}
	c.Adopt(ref, need)
	return true
}

// Adopt reserves resources for a task that already runs, even if the need
// exceeds the free resources.
func (c *Cell) Adopt(ref Ref, need resource.Vector) {
	w := &c.workers[ref]
	w.Free = w.Free.Sub(need)
	w.Tasks++
	if w.Bars == 0 {
		c.available = c.available.Sub(need)
		c.index.move(c.workers, ref)
	}
}

// Release returns the resources of a task that has ended and records the
// worker in the log of freed capacity.
func (c *Cell) Release(ref Ref, need resource.Vector) {
	c.Unreserve(ref, need)
	if c.workers[ref].Bars&^BarHeld == 0 {
		c.freed.add(ref)
	}
}

// Unreserve reverts a reservation that was never used. Unlike Release it does
// not record the worker as freed, so waiting work is not retried because of it.
func (c *Cell) Unreserve(ref Ref, need resource.Vector) {
	w := &c.workers[ref]
	w.Free = w.Free.Add(need)
	w.Tasks--
	if w.Bars == 0 {
		c.available = c.available.Add(need)
		c.index.move(c.workers, ref)
	}
}

// AddExcess adds change, in milli-CPU, to the Excess of the worker.
func (c *Cell) AddExcess(ref Ref, change int64) { c.workers[ref].Excess += change }

// addCandidate adds the worker to the index and records it as freed, unless it
// has bars or is indexed already.
func (c *Cell) addCandidate(ref Ref) {
	w := &c.workers[ref]
	if w.Bars != 0 || w.bucket != noBucket {
		return
	}
	c.available = c.available.Add(w.Free)
	c.index.insert(c.workers, ref)
	c.freed.add(ref)
}

// removeCandidate removes the worker from the index if it is indexed.
func (c *Cell) removeCandidate(ref Ref) {
	w := &c.workers[ref]
	if w.bucket == noBucket {
		return
	}
	c.available = c.available.Sub(w.Free)
	c.index.remove(c.workers, ref)
}

// Largest returns the maximum size over all workers, for each resource
// separately.
func (c *Cell) Largest() resource.Vector {
	var largest resource.Vector
	for i := range c.workers {
		size := c.workers[i].Size
		largest.MilliCPU = max(largest.MilliCPU, size.MilliCPU)
		largest.MemoryMiB = max(largest.MemoryMiB, size.MemoryMiB)
		largest.Accelerators = max(largest.Accelerators, size.Accelerators)
	}
	return largest
}

// TaskCapacity returns how many tasks with the need fit on all workers when
// they are empty, at most maxTasks. Workers with bars are counted, because the
// bars may be cleared later.
func (c *Cell) TaskCapacity(need resource.Vector, maxTasks int64) int64 {
	tasks := int64(0)
	for i := range c.workers {
		if c.workers[i].ID != "" {
			tasks += Count(need, c.workers[i].Size, maxTasks-tasks)
		}
		if tasks >= maxTasks {
			return maxTasks
		}
	}
	return tasks
}

// Count returns how many tasks with the need fit into room, at most maxTasks.
// Negative resources in room count as zero.
func Count(need, room resource.Vector, maxTasks int64) int64 {
	n := max(maxTasks, 0)
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
