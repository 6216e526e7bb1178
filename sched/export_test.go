package sched

import (
	"iter"

	"github.com/fireflyfold/fireflyfold/queue"
)

// classes lists the classes of a team.
func (s *Scheduler) classes(t *queue.Team[*job]) iter.Seq[*queue.Class[*job]] {
	return func(yield func(*queue.Class[*job]) bool) { t.Each(yield) }
}
