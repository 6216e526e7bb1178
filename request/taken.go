package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// maxForwardedIDs bounds the identifiers that are remembered.
const maxForwardedIDs = 1 << 17

// idCache remembers the identifiers of forwarded requests.
//
// It guards against a forwarded request that runs twice: its message is
// doubled or delayed on its way, the first copy runs to its end, and the
// second arrives when nothing else tells that the identifier was taken.
//
// What was refused as not run is never run here later, or its sender, who may
// have tried elsewhere since, would have it run twice. A second copy of it gets
// the same answer.
type idCache struct {
	retention   time.Duration
	states      map[ident.TaskID]idState
	oldestFirst []admittedID // oldest first
}

// idState says what became of a taken identifier.
type idState uint8

const (
	idUnknown  idState = iota // was not known
	idAdmitted                // runs, or may have run
	idRefused                 // did not run and never will here
)

type admittedID struct {
	id ident.TaskID
	at time.Duration
}

func newIDCache(keep time.Duration) *idCache {
	return &idCache{retention: keep, states: map[ident.TaskID]idState{}}
}

// add remembers an identifier and returns what was known of it.
func (b *idCache) add(now time.Duration, id ident.TaskID) idState {
	b.expire(now)
	if state := b.states[id]; state != idUnknown {
		return state
	}
	b.states[id] = idAdmitted
	b.oldestFirst = append(b.oldestFirst, admittedID{id: id, at: now})
	return idUnknown
}

// markRefused notes that an identifier was refused as not run.
func (b *idCache) markRefused(id ident.TaskID) {
	if b.states[id] == idAdmitted {
		b.states[id] = idRefused
	}
}

// full reports whether no further identifier can be remembered.
func (b *idCache) full() bool { return len(b.oldestFirst) >= maxForwardedIDs }

func (b *idCache) expire(now time.Duration) {
	n := 0
	for n < len(b.oldestFirst) && now-b.oldestFirst[n].at > b.retention {
		delete(b.states, b.oldestFirst[n].id)
		n++
	}
	if n > 0 {
		b.oldestFirst = append(b.oldestFirst[:0], b.oldestFirst[n:]...)
	}
}
