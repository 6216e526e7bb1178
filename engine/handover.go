package engine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/resource"
)

// maxAskedAttempts is the maximum number of attempts in one AskAttempts.
const maxAskedAttempts = 256

// AttemptState is the state of an attempt of an earlier scheduler, as reported
// by the zone's present scheduler.
type AttemptState string

// The states of attempts in an AttemptsReply.
const (
	AttemptOpen    AttemptState = "open"    // not known yet
	AttemptOver    AttemptState = "over"    // no longer running
	AttemptAdopted AttemptState = "adopted" // still running; the present scheduler counts its units
)

// AskedAttempt identifies an attempt. Service is set if it is a replica.
type AskedAttempt struct {
	ID      ident.AttemptID
	Service ident.ServiceID
}

// leftAttempt is an attempt that this host started as scheduler and that may
// still run, with units of this host, now that another host is the scheduler.
type leftAttempt struct {
	AskedAttempt
	team  ident.TeamID
	units int64
	// handoverID is the number of the ledger handover in flight that transfers
	// the units; zero for none.
	handoverID uint64
}

// leftBook holds the attempts that were left to another scheduler.
//
// It prevents units from remaining in use forever: a host that is no longer the
// zone's scheduler, but still runs, is not informed of the ends of the attempts
// that it started. It asks the present scheduler. If an attempt is over, its
// units are returned. If it was adopted, its units are transferred by a record
// in the ledger; the adopter has counted them as used before that.
type leftBook struct {
	attempts       map[ident.AttemptID]*leftAttempt
	lastHandoverID uint64 // of the last handover started
}

func newLeftBook() leftBook {
	return leftBook{attempts: map[ident.AttemptID]*leftAttempt{}}
}

// recordLeftAttempts records the attempts of a scheduler that this host stops.
// Borrowed ones use no units of this host and are left out.
func (e *Engine) recordLeftAttempts(z *zoneScheduler) {
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

// takeBackLeftAttempt reports whether an attempt that is being adopted was left
// by this host itself, and if so removes it from the left attempts: its units
// still count as used here.
func (e *Engine) takeBackLeftAttempt(id ident.AttemptID) bool {
	l, ok := e.left.attempts[id]
	if !ok || l.handoverID != 0 {
		return false
	}
	delete(e.left.attempts, id)
	return true
}

// returnLeftUnits returns the units of a left attempt that is over.
func (e *Engine) returnLeftUnits(id ident.AttemptID) {
	l, ok := e.left.attempts[id]
	if !ok || l.handoverID != 0 {
		return
	}
	delete(e.left.attempts, id)
	e.units.Done(l.team, l.units)
}

// tickLeft asks the zone's scheduler for the states of left attempts, which may
// be this host again.
func (e *Engine) tickLeft() {
	if len(e.left.attempts) == 0 {
		return
	}
	asked := e.left.asked()
	if e.Schedules() {
		for _, a := range asked {
			if e.attemptState(e.opts.Self, a) == AttemptOver {
				e.returnLeftUnits(a.ID)
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

// asked returns the attempts to ask about, sorted, at most maxAskedAttempts.
// Those whose units are being transferred are left out.
func (b *leftBook) asked() []AskedAttempt {
	var list []AskedAttempt
	for _, l := range b.attempts {
		if l.handoverID == 0 {
			list = append(list, l.AskedAttempt)
		}
	}
	slices.SortFunc(list, func(a, b AskedAttempt) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return list[:min(len(list), maxAskedAttempts)]
}

// attemptsAsked answers an earlier scheduler of the zone with the states of its
// attempts.
func (e *Engine) attemptsAsked(ev AttemptsAsked) {
	reply := AttemptsReply{Call: ev.Call, From: e.opts.Self}
	for _, a := range ev.Attempts {
		reply.States = append(reply.States, e.attemptState(ev.From, a))
	}
	e.emit(reply)
}

// attemptState returns the state of an attempt that asker started. If it was
// adopted here with asker's units, it counts them as used by this host from now
// on.
func (e *Engine) attemptState(asker ident.Holder, asked AskedAttempt) AttemptState {
	if !e.Schedules() || e.zone.recovery != nil || !e.sizesKnown() {
		return AttemptOpen
	}
	a := e.zone.attempts.get(asked.ID)
	switch {
	case a != nil && a.borrowed && a.holder == asker:
		a.borrowed = false
		a.holder = e.opts.Self
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

// attemptsAnswered applies the scheduler's answer: it returns the units of
// attempts that are over and starts one handover for those that were adopted.
func (e *Engine) attemptsAnswered(ev AttemptsAnswered) {
	moved := map[ident.TeamID]int64{}
	id := e.left.lastHandoverID + 1
	for i, state := range ev.States {
		if i >= len(ev.Attempts) {
			break
		}
		l, ok := e.left.attempts[ev.Attempts[i].ID]
		if !ok || l.handoverID != 0 {
			continue
		}
		switch state {
		case AttemptOver:
			e.returnLeftUnits(l.ID)
		case AttemptAdopted:
			l.handoverID = id
			moved[l.team] += l.units
		}
	}
	if len(moved) == 0 {
		return
	}
	e.left.lastHandoverID = id
	e.stepUnits(ledger.HandOver{ID: id, To: ev.From, Units: moved})
}

// handedOver removes the attempts of a handover that the ledger has applied.
// Their units belong to the other scheduler now.
func (e *Engine) handedOver(id uint64) {
	maps.DeleteFunc(e.left.attempts, func(_ ident.AttemptID, l *leftAttempt) bool { return l.handoverID == id })
}

// handOverVoid makes the attempts of a void handover be asked about again. Their
// adopter has left the ledger.
func (e *Engine) handOverVoid(id uint64) {
	for _, l := range e.left.attempts {
		if l.handoverID == id {
			l.handoverID = 0
		}
	}
}
