package engine

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// quarantineEvery is the time between two looks at which workers are out of
// choice, to tell operators of changes.
const quarantineEvery = time.Second

// quarantineWatch remembers which workers the request path keeps out of choice.
type quarantineWatch struct {
	known  []ident.WorkerID // sorted
	nextAt time.Duration
}

// tickQuarantine notes workers that were quarantined or returned since the last
// look.
func (e *Engine) tickQuarantine() {
	w := &e.quarantine
	if e.now < w.nextAt {
		return
	}
	w.nextAt = e.now + quarantineEvery
	now := e.router.Quarantined()
	for _, id := range now {
		if !slices.Contains(w.known, id) {
			e.note(NoteQuarantine, "worker "+string(id)+" fails what it is sent; it gets a probe now and then")
		}
	}
	for _, id := range w.known {
		if !slices.Contains(now, id) {
			e.note(NoteQuarantine, "worker "+string(id)+" has left quarantine")
		}
	}
	w.known = now
}
