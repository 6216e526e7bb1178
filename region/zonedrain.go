package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// drainAgeShare is the part of Options.ZoneDrain that the knowledge of the drained zones may
// be old when a start is sent. The rest is for the start call, which may take seconds to
// reach its worker.
const drainAgeShare = 0.5

// zoneDrains holds the zones in which no task may start. What runs there runs on.
type zoneDrains struct {
	model.ZoneDrains
	stale bool // reported as not confirmed
}

// drainsRead applies a newer reading of the drained zones.
func (s *Scheduler) drainsRead(next model.ZoneDrains) {
	before := s.drains.ZoneDrains
	s.drains.ZoneDrains = next
	for _, zone := range next.Zones {
		if !before.Contains(zone) {
			workers, runs := s.countInZone(zone)
			s.explain("", "no more starts in drained zone", Field{"zone", zone}, Field{"workers", workers}, Field{"runs", runs})
		}
	}
	for _, zone := range before.Zones {
		if !next.Contains(zone) {
			workers, _ := s.countInZone(zone)
			s.explain("", "starts in zone resumed", Field{"zone", zone}, Field{"workers", workers})
		}
	}
	s.dirty = true
}

// countInZone returns how many workers of a zone are listed, and how many runs they have.
func (s *Scheduler) countInZone(zone string) (workers, runs int) {
	for _, w := range s.workerList {
		if w.listed && w.entry.Zone == zone {
			workers++
			runs += len(w.runs)
		}
	}
	return workers, runs
}

// drainsConfirmed reports whether the drained zones are known recently enough to start tasks.
//
// The guard is against a leader that does not hear of a drain: it would go on to start tasks
// in the zone. It holds for a new leader as well, which has confirmed nothing yet.
func (s *Scheduler) drainsConfirmed() bool {
	if s.opts.ZoneDrain == 0 {
		return true
	}
	return s.now-s.drains.ConfirmedAt < time.Duration(drainAgeShare*float64(s.opts.ZoneDrain))
}

// checkDrainAge logs when the knowledge of the drained zones becomes too old and when it is
// confirmed again.
func (s *Scheduler) checkDrainAge() {
	if stale := !s.drainsConfirmed(); stale != s.drains.stale {
		s.drains.stale = stale
		if stale {
			s.explain("", "drained zones not confirmed: nothing is started", Field{"confirmed_ms_ago", (s.now - s.drains.ConfirmedAt).Milliseconds()})
			return
		}
		s.explain("", "drained zones confirmed")
	}
}

// drainForbids returns why no start may be sent to a worker because of drained zones, or "".
func (s *Scheduler) drainForbids(w *worker) string {
	switch {
	case s.drains.Contains(w.entry.Zone):
		return "its zone is drained"
	case !s.drainsConfirmed():
		return "the drained zones were not confirmed lately"
	}
	return ""
}
