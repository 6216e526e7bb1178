package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// wish is whether this host wants a thing, and since when it should not.
type wish struct {
	wanted    bool
	elsewhere bool          // it belongs to another host
	since     time.Duration // of elsewhere
}

// worker is what is known of one worker of the own zone.
type worker struct {
	id     ident.WorkerID
	entry  ports.WorkerEntry
	listed bool
	seenAt time.Duration // listed or answered
	winner ident.HostID  // of the slots class
	slots  wish
	comp   wish
}

func (m *Members) listWorkers(now time.Duration, entries []ports.WorkerEntry) {
	for _, w := range m.workers {
		w.listed = false
	}
	for _, entry := range entries {
		if entry.Zone != m.opts.Zone {
			continue
		}
		w, ok := m.workers[entry.Worker]
		if !ok {
			w = &worker{id: entry.Worker}
			m.workers[entry.Worker] = w
			at, _ := slices.BinarySearchFunc(m.order, w, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
			m.order = slices.Insert(m.order, at, w)
		}
		w.entry = entry
		w.listed = true
		w.seenAt = now
	}
}

func (m *Members) workerAnswered(now time.Duration, id ident.WorkerID) {
	if w, ok := m.workers[id]; ok {
		w.seenAt = now
	}
}

// dropWorkers gives up workers that are gone. A worker that the list has
// dropped is kept while it answers: its tasks run on, and without a lease it
// would stop them all.
func (m *Members) dropWorkers(now time.Duration) {
	m.order = slices.DeleteFunc(m.order, func(w *worker) bool {
		if w.listed || now-w.seenAt < m.opts.DropAfter {
			return false
		}
		m.unwant(w.id, ports.ClassSlots, &w.slots)
		m.unwant(w.id, ports.ClassCompute, &w.comp)
		delete(m.workers, w.id)
		return true
	})
}

func (m *Members) unwant(id ident.WorkerID, class ports.LeaseClass, w *wish) {
	if !w.wanted {
		return
	}
	w.wanted = false
	m.emit(Want{Worker: id, Class: class, Wanted: false})
}
