package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// maxForwardedIDs limits the number of remembered request IDs.
const maxForwardedIDs = 1 << 17

// idCache remembers the IDs of forwarded requests.
//
// It guards against running a forwarded request twice: its message is
// duplicated or delayed on the network, the first copy runs to its end, and the
// second arrives when no call with its ID is in flight.
//
// A request that was refused as "not run" never runs here later: its sender may
// have tried another host since, and the request would run twice. A second copy
// of it gets the same answer.
type idCache struct {
	retention   time.Duration
	states      map[ident.TaskID]idState
	oldestFirst []idEntry
}

// idState is what the cache knows about an ID.
type idState uint8

const (
	idUnknown  idState = iota // not in the cache
	idAdmitted                // in flight, or may have run
	idRefused                 // did not run and never will here
)

type idEntry struct {
	id ident.TaskID
	at time.Duration
}

func newIDCache(keep time.Duration) *idCache {
	return &idCache{retention: keep, states: map[ident.TaskID]idState{}}
}

// add remembers id and returns its earlier state, idUnknown if it is new.
func (b *idCache) add(now time.Duration, id ident.TaskID) idState {
	b.expire(now)
	if state := b.states[id]; state != idUnknown {
		return state
	}
	b.states[id] = idAdmitted
	b.oldestFirst = append(b.oldestFirst, idEntry{id: id, at: now})
	return idUnknown
}

// markRefused records that the request was refused as "not run".
func (b *idCache) markRefused(id ident.TaskID) {
	if b.states[id] == idAdmitted {
		b.states[id] = idRefused
	}
}

// full reports whether no further ID can be remembered.
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
