package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fireflyfold/fireflyfold/ident"
)

// attemptBook indexes the attempts of a zone by identifier and by worker. The
// cost of a worker's report depends only on the number of attempts on that
// worker.
type attemptBook struct {
	byID     map[ident.AttemptID]*attempt
	byWorker map[ident.WorkerID][]*attempt // sorted by name
	// starting holds every attempt whose start was sent and not answered. It may
	// also hold attempts answered since the last call of unanswered, which
	// removes them.
	starting map[*attempt]struct{}
}

func newAttemptBook() attemptBook {
	return attemptBook{
		byID:     map[ident.AttemptID]*attempt{},
		byWorker: map[ident.WorkerID][]*attempt{},
		starting: map[*attempt]struct{}{},
	}
}

// get returns the attempt with an identifier, or nil.
func (b *attemptBook) get(id ident.AttemptID) *attempt { return b.byID[id] }

// has reports whether the book holds a itself, not just another attempt with
// the same identifier.
func (b *attemptBook) has(a *attempt) bool { return b.byID[a.ID] == a }

// add adds an attempt. It replaces an earlier one with the same identifier.
func (b *attemptBook) add(a *attempt) {
	if old := b.byID[a.ID]; old != nil {
		b.drop(old)
	}
	a.name = taskName(a.Service, a.ID)
	b.byID[a.ID] = a
	list := b.byWorker[a.Worker]
	at, _ := slices.BinarySearchFunc(list, a, compareAttempts)
	b.byWorker[a.Worker] = slices.Insert(list, at, a)
}

// drop removes an attempt, if the book holds it.
func (b *attemptBook) drop(a *attempt) {
	if !b.has(a) {
		return
	}
	delete(b.byID, a.ID)
	delete(b.starting, a)
	list := b.byWorker[a.Worker]
	if at := slices.Index(list, a); at >= 0 {
		list = slices.Delete(list, at, at+1)
	}
	if len(list) == 0 {
		delete(b.byWorker, a.Worker)
		return
	}
	b.byWorker[a.Worker] = list
}

// onWorker returns a copy of the list of attempts on a worker, sorted by name.
func (b *attemptBook) onWorker(worker ident.WorkerID) []*attempt {
	return slices.Clone(b.byWorker[worker])
}

// startsOn reports whether a start on a worker is in flight.
func (b *attemptBook) startsOn(worker ident.WorkerID) bool {
	return slices.ContainsFunc(b.byWorker[worker], func(a *attempt) bool { return a.phase == phaseStarting })
}

// startSent records that a start of the attempt was sent.
func (b *attemptBook) startSent(a *attempt) { b.starting[a] = struct{}{} }

// unanswered returns the attempts whose start was sent and not answered, sorted
// by name.
func (b *attemptBook) unanswered() []*attempt {
	maps.DeleteFunc(b.starting, func(a *attempt, _ struct{}) bool { return a.phase != phaseStarting })
	return slices.SortedFunc(maps.Keys(b.starting), compareAttempts)
}

func compareAttempts(a, b *attempt) int { return strings.Compare(a.name, b.name) }
