package faultmatrix

import (
	"errors"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// place is a side of a network partition: an availability zone, or the
// platform's log and host list.
type place string

const placePlatform place = "platform"

// placeOf is the place of everything in a zone.
func placeOf(zone ident.Zone) place { return place(zone) }

// link joins two places, in either direction.
type link struct{ a, b place }

// Message delays, one way.
const (
	latency   = 2 * time.Millisecond
	jitter    = time.Millisecond
	lateDelay = 8 * time.Second // longer than any lease or timeout
	disorder  = 400 * time.Millisecond
)

// messageFault says what happens to messages of one step.
type messageFault uint8

const (
	messageWhole messageFault = iota
	messageLost
	messageDoubled
	messageLate
	messageOutOfOrder
)

// network decides which messages arrive, when and how often.
type network struct {
	w       *World
	cuts    map[link]bool
	faulty  Step // messages of this step are hit by fault
	fault   messageFault
	fromAll bool // every message of faultyHost is hit, whatever its step
	host    ident.HostID
}

func newNetwork(w *World) *network { return &network{w: w, cuts: map[link]bool{}} }

// cut separates two places.
func (n *network) cut(a, b place) {
	n.cuts[link{a, b}] = true
	n.cuts[link{b, a}] = true
}

// heal ends every partition and message fault.
func (n *network) heal() {
	clear(n.cuts)
	n.fault = messageWhole
	n.fromAll = false
}

// delays lists when the copies of one message arrive.
func (n *network) delays(from ident.HostID, step Step) []time.Duration {
	usual := latency + time.Duration(n.w.rng.Int64N(int64(jitter)))
	if n.fault == messageWhole || (step != n.faulty && !(n.fromAll && from == n.host)) {
		return []time.Duration{usual}
	}
	switch n.fault {
	case messageLost:
		return nil
	case messageDoubled:
		return []time.Duration{usual, usual + time.Duration(n.w.rng.Int64N(int64(disorder)))}
	case messageLate:
		return []time.Duration{lateDelay}
	default:
		return []time.Duration{time.Duration(n.w.rng.Int64N(int64(disorder)))}
	}
}

// reply is what comes back from an exchange.
type reply struct {
	value any
	err   error // nil, *ports.NotSentError, *ports.UncertainError or what the other side says
}

// errNoAnswer is the cause of an uncertain exchange.
var errNoAnswer = errors.New("no answer")

// exchange is one request and its answer.
type exchange struct {
	from    *host
	to      place
	step    Step // of the request
	back    Step // of the answer
	timeout time.Duration
	// single tells that the request cannot be doubled on its way.
	single bool
	// serve handles the request at the other side, once for each copy that
	// arrives. It may answer later.
	serve func(answer func(reply))
	// done gets the first answer, or an uncertain one at the timeout.
	done func(reply)
}

// send carries out an exchange.
func (w *World) send(x exchange) {
	finished := false
	finish := func(r reply) {
		if finished {
			return
		}
		finished = true
		x.done(r)
	}
	arrived := false
	w.deliver(x.from, x.to, x.step, func() {
		if arrived && x.single {
			return
		}
		// Only the first copy came on a connection that its sender reads.
		heard := !arrived
		arrived = true
		x.serve(func(r reply) {
			if heard {
				w.deliver(x.from, x.to, x.back, func() { x.from.wake(func() { finish(r) }) })
			}
		})
	})
	w.After(x.timeout, func() {
		x.from.wake(func() {
			finish(reply{err: &ports.UncertainError{Op: string(x.step), Cause: errNoAnswer}})
		})
	})
}

// deliver carries one message, in either direction, to where do happens.
func (w *World) deliver(from *host, to place, step Step, do func()) {
	for _, delay := range w.net.delays(from.id, step) {
		w.After(delay, func() {
			if !w.net.cuts[link{placeOf(from.zone), to}] {
				do()
			}
		})
	}
}

// deliverAt carries the closing of a connection at a time, unless its host is
// paused then or cut off.
func (w *World) deliverAt(at time.Duration, from *host, to place, do func()) {
	w.After(at-w.Now(), func() {
		if from.alive && from.paused {
			return
		}
		w.deliver(from, to, "", do)
	})
}
