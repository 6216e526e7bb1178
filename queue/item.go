package queue

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/resource"
)

// Item is an entry that waits, for instance a job with tasks to start. T is
// what it stands for. The zero Item waits in no queue.
type Item[T any] struct {
	Owner T
	Due   time.Duration
	Seq   uint64 // order of arrival, breaks ties

	class *Class[T]
	at    int32
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.class != nil }

// Class returns the class in which the item waits, or nil.
func (i *Item[T]) Class() *Class[T] { return i.class }

func (i *Item[T]) before(o *Item[T]) bool {
	if i.Due != o.Due {
		return i.Due < o.Due
	}
	return i.Seq < o.Seq
}

// Shape is what makes two items of a team alike to placement.
type Shape struct {
	Need     resource.Vector // of one task
	Gang     int             // tasks that start together; zero for single tasks
	Units    int64           // of the team's upper limit, to start anything
	Urgent   bool            // before other work of all teams, within a bound
	Pressing bool            // before other work of its team, within a bound
}

// Class is the waiting items of one team and shape.
type Class[T any] struct {
	Shape Shape
	Team  *Team[T]
	Mark  uint64 // for the caller: when the shape last failed to fit; zero at first

	items itemHeap[T]
	at    int // among the classes of the team
}

// Head returns the item of the class that is due first.
func (c *Class[T]) Head() *Item[T] { return c.items[0] }

// Len returns the number of items in the class.
func (c *Class[T]) Len() int { return len(c.items) }

// itemHeap implements heap.Interface. Items know their position, so that a
// cancelled one is taken out in logarithmic time.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = int32(i), int32(j)
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.at = int32(len(*h))
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
