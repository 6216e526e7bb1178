package region

import (
	"slices"
	"time"
)

// gangRoom is room that is kept for one gang: workers on which runs were stopped for it, until its
// tickets there expire. Without it, other work takes the room of each run that has stopped before
// the last one has.
type gangRoom struct {
	step    *step
	workers []*worker
	until   time.Duration
}

// keepRoom keeps the workers of some preemptions for a gang while its tickets are valid.
func (s *Scheduler) keepRoom(st *step, chosen []preemption) {
	room := gangRoom{step: st, until: st.advice.validTo}
	for _, p := range chosen {
		room.workers = append(room.workers, p.worker)
	}
	s.gangRooms = append(s.gangRooms, room)
	s.emit(Count{Name: "gang_rooms_kept"})
}

// reserveKeptRoom reserves the workers of keepRoom in a pass, and drops what is not needed any more.
func (s *Scheduler) reserveKeptRoom() {
	s.gangRooms = slices.DeleteFunc(s.gangRooms, func(g gangRoom) bool {
		waits := g.step.gangWaits() && !g.step.job.ended()
		if waits && s.now >= g.until {
			s.emit(Count{Name: "gang_rooms_expired"})
		}
		return !waits || s.now >= g.until
	})
	for _, g := range s.gangRooms {
		for _, w := range g.workers {
			if w.reserved == nil {
				w.reserved = g.step
			}
		}
	}
}
