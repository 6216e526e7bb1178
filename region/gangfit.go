package region

import "time"

// gangFitInterval is how long a gang counts as one that the workers cannot hold before they are
// looked at again. The look is at every worker.
const gangFitInterval = 250 * time.Millisecond

// couldHold reports whether the active workers have room for all members of the gang at one time
// once every run that ends by itself has ended. Others cannot start it, however long it waits, so
// that reservations and claims for it would only keep other work off.
func (s *Scheduler) couldHold(gang *step) bool {
	if s.now < gang.tooWideUntil {
		return false
	}
	members, isolated := len(gang.tasks), s.isolatedWaiting(gang)
	for _, w := range s.active {
		if members <= 0 && isolated <= 0 {
			return true
		}
		n, alone := s.placesInTime(gang, w)
		members -= n
		if alone {
			isolated -= n
		}
	}
	if members <= 0 && isolated <= 0 {
		return true
	}
	gang.tooWideUntil = s.now + gangFitInterval
	return false
}

// placesInTime returns how many members of a gang the worker holds beside its long-running tasks,
// which end only when their job is cancelled. alone reports whether no other job has such tasks there.
func (s *Scheduler) placesInTime(gang *step, w *worker) (places int, alone bool) {
	if !w.listed || w.entry.Draining || s.drains.Contains(w.entry.Zone) || !s.suits(gang, w) {
		return 0, false
	}
	room, alone := w.entry.Capacity, true
	for _, r := range w.runs {
		lasting := r.task.step
		if !lasting.rec.LongRunning || lasting == gang {
			continue
		}
		if lasting.interferes(gang) {
			return 0, false
		}
		alone = alone && lasting.job == gang.job
		if !r.idle {
			room = room.Sub(r.demand)
		}
	}
	return gang.mostOn(room), alone
}
