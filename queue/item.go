package queue

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/resource"
)

// Item is a queue entry, for instance a job with tasks to start. T is the type
// of its Owner. The zero Item is in no queue.
type Item[T any] struct {
	Owner T
	Due   time.Duration // due time on the caller's clock
	Seq   uint64        // order of arrival, breaks ties

	class   *Class[T]
	heapPos int32
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.class != nil }

// Class returns the class of the item, or nil if the item is in no queue.
func (i *Item[T]) Class() *Class[T] { return i.class }

func (i *Item[T]) before(o *Item[T]) bool {
	if i.Due != o.Due {
		return i.Due < o.Due
	}
	return i.Seq < o.Seq
}

// Shape holds the properties of an item that decide whether it can be placed.
// Items of a team with the same Shape are equivalent for placement.
type Shape struct {
	Need     resource.Vector // of one task
	Gang     int             // number of tasks of a gang; zero for single tasks
	Units    int64           // units of the team's limit needed to start
	Urgent   bool            // before non-urgent work of all teams, within a bound
	Pressing bool            // before other work of its team, within a bound
}

// Class holds the waiting items of one team and shape.
type Class[T any] struct {
	Shape    Shape
	Team     *Team[T]
	FailedAt uint64 // set by the caller: position at which the shape last failed to fit; zero at first

	items   itemHeap[T]
	teamPos int // position in Team.classes
}

// Head returns the item of the class that is due first. The class must not be
// empty.
func (c *Class[T]) Head() *Item[T] { return c.items[0] }

// Len returns the number of items in the class.
func (c *Class[T]) Len() int { return len(c.items) }

// itemHeap implements heap.Interface. Items store their position, which allows
// removing a cancelled item in logarithmic time.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = int32(i), int32(j)
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.heapPos = int32(len(*h))
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}

var _ heap.Interface = (*itemHeap[int])(nil)
