package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fireflyfold/fireflyfold/ident"
)

// attemptBook holds the attempts of a zone by identifier and by worker. A
// worker's report touches only the attempts on it, however many there are
// elsewhere.
type attemptBook struct {
	byID     map[ident.AttemptID]*attempt
	byWorker map[ident.WorkerID][]*attempt // in order of name
	// starting holds every attempt whose start was sent and not answered, and
	// perhaps some that were answered since the last look.
	starting map[*attempt]struct{}
}

func newAttemptBook() attemptBook {
	return attemptBook{
		byID:     map[ident.AttemptID]*attempt{},
		byWorker: map[ident.WorkerID][]*attempt{},
		starting: map[*attempt]struct{}{},
	}
}

// get returns an attempt, or nil.
func (b *attemptBook) get(id ident.AttemptID) *attempt { return b.byID[id] }

// has reports whether this very attempt is booked, not another of its name.
func (b *attemptBook) has(a *attempt) bool { return b.byID[a.ID] == a }

// add books an attempt in the place of an earlier one of its name.
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

// drop forgets an attempt.
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

// on lists the attempts on a worker in order of name. The list is the caller's.
func (b *attemptBook) on(worker ident.WorkerID) []*attempt {
	return slices.Clone(b.byWorker[worker])
}

// startsOn reports whether a start is on its way to a worker.
func (b *attemptBook) startsOn(worker ident.WorkerID) bool {
	return slices.ContainsFunc(b.byWorker[worker], func(a *attempt) bool { return a.phase == phaseStarting })
}

// startSent notes that a start of the attempt was sent.
func (b *attemptBook) startSent(a *attempt) { b.starting[a] = struct{}{} }

// unanswered lists the attempts whose start was sent and not answered, in order
// of name.
func (b *attemptBook) unanswered() []*attempt {
	maps.DeleteFunc(b.starting, func(a *attempt, _ struct{}) bool { return a.phase != phaseStarting })
	return slices.SortedFunc(maps.Keys(b.starting), compareAttempts)
}

func compareAttempts(a, b *attempt) int { return strings.Compare(a.name, b.name) }
