package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// maxTaken bounds the identifiers that are remembered.
const maxTaken = 1 << 17

// takenBook remembers the identifiers of forwarded requests.
//
// It guards against a forwarded request that runs twice: its message is
// doubled or delayed on its way, the first copy runs to its end, and the
// second arrives when nothing else tells that the identifier was taken.
//
// What was refused as not run is never run here later, or its sender, who may
// have tried elsewhere since, would have it run twice. A second copy of it gets
// the same answer.
type takenBook struct {
	keep  time.Duration
	known map[ident.TaskID]takenState
	order []takenID // oldest first
}

// takenState says what became of a taken identifier.
type takenState uint8

const (
	takenNew     takenState = iota // was not known
	takenAway                      // runs, or may have run
	takenRefused                   // did not run and never will here
)

type takenID struct {
	id ident.TaskID
	at time.Duration
}

func newTakenBook(keep time.Duration) *takenBook {
	return &takenBook{keep: keep, known: map[ident.TaskID]takenState{}}
}

// take remembers an identifier and returns what was known of it.
func (b *takenBook) take(now time.Duration, id ident.TaskID) takenState {
	b.expire(now)
	if state := b.known[id]; state != takenNew {
		return state
	}
	b.known[id] = takenAway
	b.order = append(b.order, takenID{id: id, at: now})
	return takenNew
}

// refuse notes that an identifier was refused as not run.
func (b *takenBook) refuse(id ident.TaskID) {
	if b.known[id] == takenAway {
		b.known[id] = takenRefused
	}
}

// full reports whether no further identifier can be remembered.
func (b *takenBook) full() bool { return len(b.order) >= maxTaken }

func (b *takenBook) expire(now time.Duration) {
	n := 0
	for n < len(b.order) && now-b.order[n].at > b.keep {
		delete(b.known, b.order[n].id)
		n++
	}
	if n > 0 {
		b.order = append(b.order[:0], b.order[n:]...)
	}
}
