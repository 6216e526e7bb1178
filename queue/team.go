package queue

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Team is the waiting work and the use of one team.
type Team[T any] struct {
	ID     ident.TeamID
	Weight int64
	Used   resource.Vector

	passed  int     // pressing items started in a row while older ones waited
	share   float64 // dominant, divided by weight
	waiting int     // items
	urgent  int     // items of urgent classes
	classes []*Class[T]
	byShape map[Shape]*Class[T]
	at      int // in the order of teams; notOrdered without waiting items
}

const notOrdered = -1

// Waiting returns the number of items that wait.
func (t *Team[T]) Waiting() int { return t.waiting }

// present reports whether the team counts when shares are worked out.
func (t *Team[T]) present() bool { return t.waiting > 0 || !t.Used.IsZero() }

func (t *Team[T]) before(o *Team[T]) bool {
	if t.share != o.share {
		return t.share < o.share
	}
	return t.ID < o.ID
}

// Each calls f for each class of the team, in no particular order, until f
// returns false. f must not change the queue.
func (t *Team[T]) Each(f func(*Class[T]) bool) {
	for _, class := range t.classes {
		if !f(class) {
			return
		}
	}
}

// pressingRun is how many pressing items of a team start in a row while older
// work of the team waits. The next start is then the older work's, so that a
// steady stream of deadlines does not starve it.
const pressingRun = 4

// First returns the class whose head comes first among those that open admits,
// or nil.
func (t *Team[T]) First(open func(*Class[T]) bool) *Class[T] {
	var pressing, plain *Class[T]
	for _, class := range t.classes {
		best := &plain
		if class.Shape.Pressing {
			best = &pressing
		}
		if *best != nil && (*best).Head().before(class.Head()) {
			continue
		}
		if open(class) {
			*best = class
		}
	}
	switch {
	case pressing == nil:
		return plain
	case plain != nil && t.passed >= pressingRun && plain.Head().before(pressing.Head()):
		return plain
	}
	return pressing
}

// firstUrgent returns the urgent class whose head is due first among those
// that open admits, or nil.
func (t *Team[T]) firstUrgent(open func(*Class[T]) bool) *Class[T] {
	var best *Class[T]
	for _, class := range t.classes {
		if !class.Shape.Urgent || best != nil && best.Head().before(class.Head()) {
			continue
		}
		if open(class) {
			best = class
		}
	}
	return best
}

// Started tells the queue that work of a class was started, which decides
// whose turn is next within the team.
func (t *Team[T]) Started(class *Class[T]) {
	if class.Shape.Pressing {
		t.passed++
		return
	}
	t.passed = 0
}
