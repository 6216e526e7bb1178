package queue

import (
	"container/heap"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Queue holds the waiting items of all teams. It is not safe for concurrent
// use.
type Queue[T any] struct {
	teams         map[ident.TeamID]*Team[T]
	order         []*Team[T] // teams with waiting items, lowest share first
	total         resource.Vector
	activeWeights int64   // sum over the active teams
	urgentOver    float64 // multiple of its share up to which a team's urgent work comes first
	urgent        int     // waiting urgent items of all teams
	waiting       int
	partialScan   bool        // a scan skipped classes; see PartialScan
	unusedClasses []*Class[T] // empty classes kept for reuse
}

// maxUnusedClasses is the maximum number of empty classes kept for reuse.
const maxUnusedClasses = 256

// New returns an empty queue. Urgent work comes first while its team uses at
// most urgentOver times the share it is entitled to.
func New[T any](urgentOver float64) *Queue[T] {
	return &Queue[T]{teams: map[ident.TeamID]*Team[T]{}, urgentOver: urgentOver}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.waiting }

// Team returns the team with the ID. A new team has weight one.
func (q *Queue[T]) Team(id ident.TeamID) *Team[T] {
	team, ok := q.teams[id]
	if !ok {
		team = &Team[T]{ID: id, Weight: 1, byShape: map[Shape]*Class[T]{}, orderPos: notOrdered}
		q.teams[id] = team
	}
	return team
}

// SetWeight sets the weight of a team. A weight below one is set to one.
func (q *Queue[T]) SetWeight(team *Team[T], weight int64) {
	weight = max(weight, 1)
	if team.active() {
		q.activeWeights += weight - team.Weight
	}
	team.Weight = weight
	q.updateShare(team)
}

// ResetWeights sets the weight of all teams to one, except those for which
// keep returns true.
func (q *Queue[T]) ResetWeights(keep func(ident.TeamID) bool) {
	for id, team := range q.teams {
		if !keep(id) {
			q.SetWeight(team, 1)
		}
	}
}

// SetTotal sets the resources of the zone, of which shares are fractions.
func (q *Queue[T]) SetTotal(total resource.Vector) {
	q.total = total
	for _, team := range q.teams {
		q.updateShare(team)
	}
}

// Use adds resources to those in use by a team; Release subtracts them.
func (q *Queue[T]) Use(team *Team[T], need resource.Vector) {
	q.update(team, func() { team.Used = team.Used.Add(need) })
}

// Release subtracts resources from those in use by a team.
func (q *Queue[T]) Release(team *Team[T], need resource.Vector) {
	q.update(team, func() { team.Used = team.Used.Sub(need) })
}

// update applies a change to a team, then updates the sum of active weights and
// the order.
func (q *Queue[T]) update(team *Team[T], apply func()) {
	wasActive := team.active()
	apply()
	if isActive := team.active(); isActive != wasActive {
		if isActive {
			q.activeWeights += team.Weight
		} else {
			q.activeWeights -= team.Weight
		}
	}
	q.updateShare(team)
}

// Share returns the dominant share of the zone that a team uses.
func (q *Queue[T]) Share(team *Team[T]) float64 { return team.Used.Dominant(q.total) }

// Entitled returns the share of the zone, in the range 0 to 1, that a team is
// entitled to by its weight if all active teams have work waiting.
func (q *Queue[T]) Entitled(team *Team[T]) float64 {
	weights := q.activeWeights
	if !team.active() {
		weights += team.Weight
	}
	return float64(team.Weight) / float64(max(weights, 1))
}

// Push adds an item to the queue. The item must not be in a queue already.
func (q *Queue[T]) Push(team *Team[T], shape Shape, item *Item[T]) {
	class := q.classFor(team, shape)
	item.class = class
	heap.Push(&class.items, item)
	q.addWaiting(team, shape, 1)
}

// Remove removes an item from the queue. It does nothing if the item is in no
// queue.
func (q *Queue[T]) Remove(item *Item[T]) {
	class := item.class
	if class == nil {
		return
	}
	heap.Remove(&class.items, int(item.heapPos))
	item.class = nil
	q.addWaiting(class.Team, class.Shape, -1)
	if len(class.items) == 0 {
		q.dropClass(class)
	}
}

func (q *Queue[T]) addWaiting(team *Team[T], shape Shape, delta int) {
	q.waiting += delta
	if shape.Urgent {
		team.urgent += delta
		q.urgent += delta
	}
	q.update(team, func() { team.waiting += delta })
}

func (q *Queue[T]) classFor(team *Team[T], shape Shape) *Class[T] {
	if class, ok := team.byShape[shape]; ok {
		return class
	}
	var class *Class[T]
	if n := len(q.unusedClasses); n > 0 {
		class = q.unusedClasses[n-1]
		q.unusedClasses = q.unusedClasses[:n-1]
	} else {
		class = &Class[T]{}
	}
	class.Shape, class.Team, class.FailedAt, class.teamPos = shape, team, 0, len(team.classes)
	team.classes = append(team.classes, class)
	team.byShape[shape] = class
	return class
}

func (q *Queue[T]) dropClass(class *Class[T]) {
	team := class.Team
	last := len(team.classes) - 1
	team.classes[class.teamPos] = team.classes[last]
	team.classes[class.teamPos].teamPos = class.teamPos
	team.classes[last] = nil
	team.classes = team.classes[:last]
	delete(team.byShape, class.Shape)
	if len(q.unusedClasses) < maxUnusedClasses {
		q.unusedClasses = append(q.unusedClasses, class)
	}
}
