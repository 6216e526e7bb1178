package queue

import (
	"container/heap"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Queue holds the waiting items of all teams. It is not safe for concurrent
// use.
type Queue[T any] struct {
	teams      map[ident.TeamID]*Team[T]
	order      []*Team[T] // with waiting items, lowest share first
	total      resource.Vector
	weights    int64   // of the teams that are present
	urgentOver float64 // multiple of its share up to which a team's urgent work comes first
	urgent     int     // urgent items of all teams
	waiting    int
	partial    bool        // some classes were not looked at
	spare      []*Class[T] // empty classes for later use
}

// spareMost bounds the empty classes that are kept.
const spareMost = 256

// New returns an empty queue. Urgent work comes first while its team uses at
// most urgentOver times its share.
func New[T any](urgentOver float64) *Queue[T] {
	return &Queue[T]{teams: map[ident.TeamID]*Team[T]{}, urgentOver: urgentOver}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.waiting }

// Team returns a team. One that was not seen before has weight one.
func (q *Queue[T]) Team(id ident.TeamID) *Team[T] {
	team, ok := q.teams[id]
	if !ok {
		team = &Team[T]{ID: id, Weight: 1, byShape: map[Shape]*Class[T]{}, at: notOrdered}
		q.teams[id] = team
	}
	return team
}

// SetWeight sets the weight of a team, at least one.
func (q *Queue[T]) SetWeight(team *Team[T], weight int64) {
	weight = max(weight, 1)
	if team.present() {
		q.weights += weight - team.Weight
	}
	team.Weight = weight
	q.reshare(team)
}

// ResetWeights gives every team that keep does not list weight one.
func (q *Queue[T]) ResetWeights(keep func(ident.TeamID) bool) {
	for id, team := range q.teams {
		if !keep(id) {
			q.SetWeight(team, 1)
		}
	}
}

// SetTotal sets the size of the zone, to which shares relate.
func (q *Queue[T]) SetTotal(total resource.Vector) {
	q.total = total
	for _, team := range q.teams {
		q.reshare(team)
	}
}

// Use counts resources that a team uses from now on; Release is its reverse.
func (q *Queue[T]) Use(team *Team[T], need resource.Vector) {
	q.change(team, func() { team.Used = team.Used.Add(need) })
}

// Release counts resources that a team uses no longer.
func (q *Queue[T]) Release(team *Team[T], need resource.Vector) {
	q.change(team, func() { team.Used = team.Used.Sub(need) })
}

// change applies a change to a team and keeps the sum of weights and the order.
func (q *Queue[T]) change(team *Team[T], apply func()) {
	was := team.present()
	apply()
	if is := team.present(); is != was {
		if is {
			q.weights += team.Weight
		} else {
			q.weights -= team.Weight
		}
	}
	q.reshare(team)
}

// Share returns the dominant share of the zone that a team uses.
func (q *Queue[T]) Share(team *Team[T]) float64 { return team.Used.Dominant(q.total) }

// Entitled returns the share of the zone that a team may expect while every
// team that is present has work waiting.
func (q *Queue[T]) Entitled(team *Team[T]) float64 {
	weights := q.weights
	if !team.present() {
		weights += team.Weight
	}
	return float64(team.Weight) / float64(max(weights, 1))
}

// Push adds an item. It must not wait already.
func (q *Queue[T]) Push(team *Team[T], shape Shape, item *Item[T]) {
	class := q.class(team, shape)
	item.class = class
	heap.Push(&class.items, item)
	q.count(team, shape, 1)
}

// Remove takes an item out, if it waits.
func (q *Queue[T]) Remove(item *Item[T]) {
	class := item.class
	if class == nil {
		return
	}
	heap.Remove(&class.items, int(item.at))
	item.class = nil
	q.count(class.Team, class.Shape, -1)
	if len(class.items) == 0 {
		q.drop(class)
	}
}

func (q *Queue[T]) count(team *Team[T], shape Shape, change int) {
	q.waiting += change
	if shape.Urgent {
		team.urgent += change
		q.urgent += change
	}
	q.change(team, func() { team.waiting += change })
}

func (q *Queue[T]) class(team *Team[T], shape Shape) *Class[T] {
	if class, ok := team.byShape[shape]; ok {
		return class
	}
	var class *Class[T]
	if n := len(q.spare); n > 0 {
		class = q.spare[n-1]
		q.spare = q.spare[:n-1]
	} else {
		class = &Class[T]{}
	}
	class.Shape, class.Team, class.Mark, class.at = shape, team, 0, len(team.classes)
	team.classes = append(team.classes, class)
	team.byShape[shape] = class
	return class
}

func (q *Queue[T]) drop(class *Class[T]) {
	team := class.Team
	last := len(team.classes) - 1
	team.classes[class.at] = team.classes[last]
	team.classes[class.at].at = class.at
	team.classes[last] = nil
	team.classes = team.classes[:last]
	delete(team.byShape, class.Shape)
	if len(q.spare) < spareMost {
		q.spare = append(q.spare, class)
	}
}
