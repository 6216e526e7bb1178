package queue

// reshare works out the share of a team and moves it to its place in the
// order. Shares change a little at a time, so that it moves a few places.
func (q *Queue[T]) reshare(team *Team[T]) {
	team.share = team.Used.Dominant(q.total) / float64(team.Weight)
	switch {
	case team.waiting > 0 && team.at == notOrdered:
		team.at = len(q.order)
		q.order = append(q.order, team)
	case team.waiting == 0 && team.at != notOrdered:
		q.unorder(team)
		return
	case team.at == notOrdered:
		return
	}
	for team.at > 0 && team.before(q.order[team.at-1]) {
		q.swap(team.at, team.at-1)
	}
	for team.at+1 < len(q.order) && q.order[team.at+1].before(team) {
		q.swap(team.at, team.at+1)
	}
}

func (q *Queue[T]) swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.order[i].at, q.order[j].at = i, j
}

func (q *Queue[T]) unorder(team *Team[T]) {
	for team.at+1 < len(q.order) {
		q.swap(team.at, team.at+1)
	}
	q.order[team.at] = nil
	q.order = q.order[:team.at]
	team.at = notOrdered
}

// First returns the first item in the order whose class open admits, or nil.
func (q *Queue[T]) First(open func(*Class[T]) bool) *Item[T] {
	if class := q.FirstUrgent(open); class != nil {
		return class.Head()
	}
	for _, team := range q.order {
		class, whole := team.first(open)
		if class != nil {
			return class.Head()
		}
		q.partial = q.partial || !whole
	}
	return nil
}

// Partial reports, once, whether some classes were not looked at since it was
// last called although their team had nothing else to start.
func (q *Queue[T]) Partial() bool {
	partial := q.partial
	q.partial = false
	return partial
}

// Ordered returns the teams that have items waiting, in order. The slice is
// valid until the queue changes.
func (q *Queue[T]) Ordered() []*Team[T] { return q.order }

// Urgent returns the number of urgent items that wait.
func (q *Queue[T]) Urgent() int { return q.urgent }

// FirstUrgent returns the urgent class that is due first among the teams that
// are within their bound, or nil.
func (q *Queue[T]) FirstUrgent(open func(*Class[T]) bool) *Class[T] {
	if q.urgent == 0 {
		return nil
	}
	var best *Class[T]
	for _, team := range q.order {
		if team.urgent == 0 || !q.UrgentWithin(team) {
			continue
		}
		class := team.firstUrgent(open)
		if class == nil {
			continue
		}
		if best == nil || class.Head().before(best.Head()) {
			best = class
		}
	}
	return best
}

// UrgentWithin reports whether urgent work of the team comes first.
func (q *Queue[T]) UrgentWithin(team *Team[T]) bool {
	return q.Share(team) <= q.urgentOver*q.Entitled(team)
}

// Oldest returns the item that arrived first among those whose class open
// admits, whatever its team: first in, first out.
func (q *Queue[T]) Oldest(open func(*Class[T]) bool) *Item[T] {
	var best *Item[T]
	for _, team := range q.order {
		for _, class := range team.classes {
			head := class.Head()
			if best != nil && best.Seq < head.Seq {
				continue
			}
			if open(class) {
				best = head
			}
		}
	}
	return best
}

// AheadOf returns the items of the same team that come before the item, in no
// particular order.
func (q *Queue[T]) AheadOf(item *Item[T]) []*Item[T] {
	if item.class == nil {
		return nil
	}
	var ahead []*Item[T]
	for _, class := range item.class.Team.classes {
		for _, other := range class.items {
			if precedes(other, item) {
				ahead = append(ahead, other)
			}
		}
	}
	return ahead
}

// precedes reports whether one item of a team comes before another.
func precedes[T any](a, b *Item[T]) bool {
	if pressing := a.class.Shape.Pressing; pressing != b.class.Shape.Pressing {
		return pressing
	}
	return a.before(b)
}
