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
	turn    int // class at which the next look begins, if there are too many for one
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

// lookMost is how many classes of a team are looked at at once. A team with
// more different needs has them looked at in turns: that it cannot be served in
// strict order is its own loss, and no other team waits for the looking.
const lookMost = 256

// look calls f for the classes whose turn it is, and reports whether these are
// all.
func (t *Team[T]) look(f func(*Class[T])) bool {
	n := len(t.classes)
	if n <= lookMost {
		for _, class := range t.classes {
			f(class)
		}
		return true
	}
	for i := range lookMost {
		f(t.classes[(t.turn+i)%n])
	}
	t.turn = (t.turn + lookMost) % n
	return false
}

// First returns the class whose head comes first among those that open admits,
// or nil. If there are many classes it looks at some of them only.
func (t *Team[T]) First(open func(*Class[T]) bool) *Class[T] {
	class, _ := t.first(open)
	return class
}

// first is First, and reports whether all classes were looked at.
func (t *Team[T]) first(open func(*Class[T]) bool) (*Class[T], bool) {
	var pressing, plain *Class[T]
	whole := t.look(func(class *Class[T]) {
		best := &plain
		if class.Shape.Pressing {
			best = &pressing
		}
		if *best != nil && (*best).Head().before(class.Head()) {
			return
		}
		if open(class) {
			*best = class
		}
	})
	return t.choose(pressing, plain), whole
}

// choose returns the class whose turn it is.
func (t *Team[T]) choose(pressing, plain *Class[T]) *Class[T] {
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
	t.look(func(class *Class[T]) {
		if !class.Shape.Urgent || best != nil && best.Head().before(class.Head()) {
			return
		}
		if open(class) {
			best = class
		}
	})
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
