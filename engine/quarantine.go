package engine

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// quarantineInterval is the interval at which changes of the set of quarantined
// workers are reported to operators.
const quarantineInterval = time.Second

// quarantineWatch holds the workers that were quarantined by the request path
// at the last check.
type quarantineWatch struct {
	known  []ident.WorkerID // sorted
	nextAt time.Duration
}

// tickQuarantine emits a note for each worker that has entered or left
// quarantine since the last check.
func (e *Engine) tickQuarantine() {
	w := &e.quarantine
	if e.now < w.nextAt {
		return
	}
	w.nextAt = e.now + quarantineInterval
	current := e.router.Quarantined()
	for _, id := range current {
		if !slices.Contains(w.known, id) {
			e.note(NoteQuarantine, "worker "+string(id)+" fails what it is sent; it gets a probe now and then")
		}
	}
	for _, id := range w.known {
		if !slices.Contains(current, id) {
			e.note(NoteQuarantine, "worker "+string(id)+" has left quarantine")
		}
	}
	w.known = current
}
