package queue

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Team holds the waiting items and the resource usage of one team.
type Team[T any] struct {
	ID     ident.TeamID
	Weight int64
	Used   resource.Vector

	pressingStreak int     // pressing items started since the last other item
	share          float64 // dominant share divided by weight
	waiting        int     // number of items
	urgent         int     // number of urgent items
	classes        []*Class[T]
	byShape        map[Shape]*Class[T]
	orderPos       int // position in Queue.order, or notOrdered without waiting items
	scanStart      int // class at which the next scan starts, if there are more than maxScan
}

const notOrdered = -1

// Waiting returns the number of waiting items.
func (t *Team[T]) Waiting() int { return t.waiting }

// active reports whether the team has waiting items or uses resources. Only
// active teams count towards the shares of the others.
func (t *Team[T]) active() bool { return t.waiting > 0 || !t.Used.IsZero() }

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

// maxPressingStreak is the maximum number of pressing items of a team that start
// in a row while older work of the team waits. The older work starts next;
// otherwise a steady stream of work with deadlines would starve it.
const maxPressingStreak = 4

// maxScan is the maximum number of classes of a team that one scan visits. In a
// team with more classes, successive scans visit them in rotation. Such a team
// is not served in strict order, but it does not delay the other teams.
const maxScan = 256

// scan calls f for at most maxScan classes, starting where the last scan ended,
// and reports whether these are all classes of the team.
func (t *Team[T]) scan(f func(*Class[T])) bool {
	n := len(t.classes)
	if n <= maxScan {
		for _, class := range t.classes {
			f(class)
		}
		return true
	}
	for i := range maxScan {
		f(t.classes[(t.scanStart+i)%n])
	}
	t.scanStart = (t.scanStart + maxScan) % n
	return false
}

// First returns the class whose head comes first among those accepted by
// admits, or nil. In a team with more than maxScan classes it visits only some.
func (t *Team[T]) First(admits func(*Class[T]) bool) *Class[T] {
	class, _ := t.scanFirst(admits)
	return class
}

// scanFirst is like First and also reports whether all classes were visited.
func (t *Team[T]) scanFirst(admits func(*Class[T]) bool) (*Class[T], bool) {
	var pressing, plain *Class[T]
	complete := t.scan(func(class *Class[T]) {
		best := &plain
		if class.Shape.Pressing {
			best = &pressing
		}
		if *best != nil && (*best).Head().before(class.Head()) {
			return
		}
		if admits(class) {
			*best = class
		}
	})
	return t.choose(pressing, plain), complete
}

// choose returns the class to start next. Either may be nil.
func (t *Team[T]) choose(pressing, plain *Class[T]) *Class[T] {
	switch {
	case pressing == nil:
		return plain
	case plain != nil && t.pressingStreak >= maxPressingStreak && plain.Head().before(pressing.Head()):
		return plain
	}
	return pressing
}

// firstUrgent returns the urgent class whose head is due first among those
// accepted by admits, or nil. Like First it visits at most maxScan classes.
func (t *Team[T]) firstUrgent(admits func(*Class[T]) bool) *Class[T] {
	var best *Class[T]
	t.scan(func(class *Class[T]) {
		if !class.Shape.Urgent || best != nil && best.Head().before(class.Head()) {
			return
		}
		if admits(class) {
			best = class
		}
	})
	return best
}

// RecordStart records that an item of the class was started. maxPressingStreak
// applies to the starts recorded here.
func (t *Team[T]) RecordStart(class *Class[T]) {
	if class.Shape.Pressing {
		t.pressingStreak++
		return
	}
	t.pressingStreak = 0
}
