package queue

// updateShare computes the share of a team and moves the team to its position
// in the order. Shares change in small steps, so a linear search from the old
// position is short.
func (q *Queue[T]) updateShare(team *Team[T]) {
	team.share = team.Used.Dominant(q.total) / float64(team.Weight)
	switch {
	case team.waiting > 0 && team.orderPos == notOrdered:
		team.orderPos = len(q.order)
		q.order = append(q.order, team)
	case team.waiting == 0 && team.orderPos != notOrdered:
		q.removeFromOrder(team)
		return
	case team.orderPos == notOrdered:
		return
	}
	for team.orderPos > 0 && team.before(q.order[team.orderPos-1]) {
		q.swap(team.orderPos, team.orderPos-1)
	}
	for team.orderPos+1 < len(q.order) && q.order[team.orderPos+1].before(team) {
		q.swap(team.orderPos, team.orderPos+1)
	}
}

func (q *Queue[T]) swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.order[i].orderPos, q.order[j].orderPos = i, j
}

func (q *Queue[T]) removeFromOrder(team *Team[T]) {
	for team.orderPos+1 < len(q.order) {
		q.swap(team.orderPos, team.orderPos+1)
	}
	q.order[team.orderPos] = nil
	q.order = q.order[:team.orderPos]
	team.orderPos = notOrdered
}

// First returns the first item in the order whose class is accepted by admits,
// or nil.
func (q *Queue[T]) First(admits func(*Class[T]) bool) *Item[T] {
	if class := q.FirstUrgent(admits); class != nil {
		return class.Head()
	}
	for _, team := range q.order {
		class, complete := team.scanFirst(admits)
		if class != nil {
			return class.Head()
		}
		q.partialScan = q.partialScan || !complete
	}
	return nil
}

// PartialScan reports whether, since its last call, First skipped classes of a
// team for which it found nothing else to start. It resets the flag.
func (q *Queue[T]) PartialScan() bool {
	partial := q.partialScan
	q.partialScan = false
	return partial
}

// Ordered returns the teams that have items waiting, in order. The slice is
// valid until the queue changes.
func (q *Queue[T]) Ordered() []*Team[T] { return q.order }

// Urgent returns the number of urgent items waiting.
func (q *Queue[T]) Urgent() int { return q.urgent }

// FirstUrgent returns the class accepted by admits whose urgent head is due
// first, among the teams within their urgent bound, or nil.
func (q *Queue[T]) FirstUrgent(admits func(*Class[T]) bool) *Class[T] {
	if q.urgent == 0 {
		return nil
	}
	var best *Class[T]
	for _, team := range q.order {
		if team.urgent == 0 || !q.WithinUrgentBound(team) {
			continue
		}
		class := team.firstUrgent(admits)
		if class == nil {
			continue
		}
		if best == nil || class.Head().before(best.Head()) {
			best = class
		}
	}
	return best
}

// WithinUrgentBound reports whether the team's share is within the bound up to
// which its urgent work comes before all other work.
func (q *Queue[T]) WithinUrgentBound(team *Team[T]) bool {
	return q.Share(team) <= q.urgentOver*q.Entitled(team)
}

// Oldest returns the item with the lowest Seq among the heads of the classes
// accepted by admits, or nil: first in, first out, regardless of the team.
func (q *Queue[T]) Oldest(admits func(*Class[T]) bool) *Item[T] {
	var best *Item[T]
	for _, team := range q.order {
		for _, class := range team.classes {
			head := class.Head()
			if best != nil && best.Seq < head.Seq {
				continue
			}
			if admits(class) {
				best = head
			}
		}
	}
	return best
}

// AheadOf returns the items of the same team that come before the item, in no
// particular order. It returns nil if the item is in no queue.
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
