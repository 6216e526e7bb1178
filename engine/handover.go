package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/resource"
)

// maxAskedAttempts bounds one question about left attempts.
const maxAskedAttempts = 256

// AttemptState is what the zone's scheduler says of an attempt that an earlier
// one started.
type AttemptState string

// The states of asked attempts.
const (
	AttemptOpen    AttemptState = "open"    // not known yet
	AttemptOver    AttemptState = "over"    // does not run any more
	AttemptAdopted AttemptState = "adopted" // runs on, and its units are counted by the scheduler
)

// AskedAttempt names an attempt, and its service if it is a replica.
type AskedAttempt struct {
	ID      ident.AttemptID
	Service ident.ServiceID
}

// leftAttempt is an attempt that this host started and that runs on under
// another scheduler of the zone, with units of this host.
type leftAttempt struct {
	AskedAttempt
	team  ident.TeamID
	units int64
	// moving names the handover that is to move the units; zero for none.
	moving uint64
}

// leftBook keeps the attempts that were left to another scheduler.
//
// It guards against units that stay in use for ever: a host that gives the
// zone's scheduling up, alive and well, hears no more of the ends of what it
// started. It asks the present scheduler: an attempt that is over returns its
// units; one that was adopted takes them along, by a record in the ledger, and
// the adopter has counted them as used before that.
type leftBook struct {
	attempts map[ident.AttemptID]*leftAttempt
	lastID   uint64
}

func newLeftBook() leftBook {
	return leftBook{attempts: map[ident.AttemptID]*leftAttempt{}}
}

// leave notes the attempts of a scheduler that this host stops being.
func (e *Engine) leave(z *zoneScheduler) {
	for id, a := range z.attempts.byID {
		if a.borrowed {
			continue
		}
		e.left.attempts[id] = &leftAttempt{
			AskedAttempt: AskedAttempt{ID: id, Service: a.Service},
			team:         a.Team,
			units:        resource.LimitUnits(a.Need),
		}
	}
}

// retake reports whether an attempt was left by this host itself, and forgets
// that: its units are counted here already.
func (e *Engine) retake(id ident.AttemptID) bool {
	l, ok := e.left.attempts[id]
	if !ok || l.moving != 0 {
		return false
	}
	delete(e.left.attempts, id)
	return true
}

// leftOver returns the units of an attempt that is over.
func (e *Engine) leftOver(id ident.AttemptID) {
	l, ok := e.left.attempts[id]
	if !ok || l.moving != 0 {
		return
	}
	delete(e.left.attempts, id)
	e.units.Done(l.team, l.units)
}

// tickLeft asks the zone's scheduler about left attempts.
func (e *Engine) tickLeft() {
	if len(e.left.attempts) == 0 {
		return
	}
	asked := e.left.asked()
	if e.Schedules() {
		for _, a := range asked {
			if e.attemptState(e.opts.Self, a) == AttemptOver {
				e.leftOver(a.ID)
			}
		}
		return
	}
	for _, p := range e.view.Hosts {
		if p.Zone == e.opts.Zone && p.Scheduler {
			e.emit(AskAttempts{Host: p.Host, Addr: p.Addr, Attempts: asked})
			return
		}
	}
}

// asked lists attempts to ask about, in order.
func (b *leftBook) asked() []AskedAttempt {
	var list []AskedAttempt
	for _, l := range b.attempts {
		if l.moving == 0 {
			list = append(list, l.AskedAttempt)
		}
	}
	slices.SortFunc(list, func(a, b AskedAttempt) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return list[:min(len(list), maxAskedAttempts)]
}

// attemptsAsked answers an earlier scheduler of the zone.
func (e *Engine) attemptsAsked(ev AttemptsAsked) {
	reply := AttemptsReply{Call: ev.Call, From: e.opts.Self}
	for _, a := range ev.Attempts {
		reply.States = append(reply.States, e.attemptState(ev.From, a))
	}
	e.emit(reply)
}

// attemptState tells what became of an attempt, and counts the units of one
// that runs on here.
func (e *Engine) attemptState(asker ident.Holder, asked AskedAttempt) AttemptState {
	if !e.Schedules() || e.zone.recovery != nil || !e.sizesKnown() {
		return AttemptOpen
	}
	a := e.zone.attempts.get(asked.ID)
	switch {
	case a != nil && a.borrowed && a.by == asker:
		a.borrowed = false
		a.by = e.opts.Self
		e.units.Count(a.Team, resource.LimitUnits(a.Need))
		return AttemptAdopted
	case a != nil && a.borrowed:
		return AttemptOpen
	case a != nil:
		return AttemptAdopted
	case asked.Service != "" || e.closedInLog(asked.ID):
		return AttemptOver
	}
	return AttemptOpen
}

// attemptsAnswered settles left attempts by the word of the scheduler.
func (e *Engine) attemptsAnswered(ev AttemptsAnswered) {
	moved := map[ident.TeamID]int64{}
	id := e.left.lastID + 1
	for i, state := range ev.States {
		if i >= len(ev.Attempts) {
			break
		}
		l, ok := e.left.attempts[ev.Attempts[i].ID]
		if !ok || l.moving != 0 {
			continue
		}
		switch state {
		case AttemptOver:
			e.leftOver(l.ID)
		case AttemptAdopted:
			l.moving = id
			moved[l.team] += l.units
		}
	}
	if len(moved) == 0 {
		return
	}
	e.left.lastID = id
	e.stepUnits(ledger.HandOver{ID: id, To: ev.From, Units: moved})
}

// handedOver forgets attempts whose units are the other scheduler's now.
func (e *Engine) handedOver(id uint64) {
	maps.DeleteFunc(e.left.attempts, func(_ ident.AttemptID, l *leftAttempt) bool { return l.moving == id })
}

// handOverVoid asks again about attempts whose adopter has gone.
func (e *Engine) handOverVoid(id uint64) {
	for _, l := range e.left.attempts {
		if l.moving == id {
			l.moving = 0
		}
	}
}
