package ledger

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// draftMoves adds what this holder gives away: back, where a limit was lowered;
// to peers that asked; to those that have little, now and then.
func (h *Holder) draftMoves(d *draft) {
	var m Moves
	h.giveBack(&m)
	h.giveToAskers(&m)
	h.giveToHeir(&m)
	if h.now >= h.driftAt+h.cfg.DriftInterval {
		h.driftAt = h.now
		h.drift(&m)
	}
	for len(m.Transfers)+len(m.GiveBacks) > 0 {
		part := m.cut(h.cfg.TeamsPerRecord)
		d.addMoves(part)
	}
}

// cut takes at most n transfers and n give-backs off the front.
func (m *Moves) cut(n int) Moves {
	t, b := min(n, len(m.Transfers)), min(n, len(m.GiveBacks))
	part := Moves{Transfers: m.Transfers[:t], GiveBacks: m.GiveBacks[:b]}
	m.Transfers, m.GiveBacks = m.Transfers[t:], m.GiveBacks[b:]
	return part
}

// overLimit reports whether any team has more units than its limit, and this
// holder some of them.
func (h *Holder) overLimit() bool {
	for id, t := range h.fold.teams {
		if t.sum > t.limit && h.unused(id) > 0 {
			return true
		}
	}
	return false
}

// giveBack gives back, of every team above its limit, what is unused beyond
// this holder's part of the limit. One round follows the other until the sum is
// at the limit, so the parts of holders that are cut off are given by the others.
func (h *Holder) giveBack(m *Moves) {
	for _, id := range h.teamsOver() {
		t := h.fold.teams[id]
		if h.aside[id] > 0 {
			continue
		}
		held := t.held[h.cfg.Self]
		part := held * t.limit / t.sum
		if units := min(held-part, h.unused(id)); units > 0 {
			m.GiveBacks = append(m.GiveBacks, GiveBack{Team: id, Units: units})
		}
	}
}

// teamsOver lists the teams that are above their limit, in order of name.
func (h *Holder) teamsOver() []ident.TeamID {
	var over []ident.TeamID
	for id, t := range h.fold.teams {
		if t.sum > t.limit {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	return over
}

// pendingIn returns what the moves drafted so far take of a team.
func (m *Moves) pendingIn(id ident.TeamID) int64 {
	var units int64
	for _, g := range m.Transfers {
		if g.Team == id {
			units += g.Units
		}
	}
	for _, b := range m.GiveBacks {
		if b.Team == id {
			units += b.Units
		}
	}
	return units
}

// giveToAskers meets the requests of peers from what is free, as far as they
// have a claim to it.
func (h *Holder) giveToAskers(m *Moves) {
	for _, id := range h.askedTeams() {
		sum, limit := h.fold.Sum(id)
		free := h.loose(id) - m.pendingIn(id)
		if sum > limit || free <= 0 {
			continue
		}
		given := int64(0)
		for _, key := range h.asksFor(id) {
			units := min(free-given, h.claim(key, given))
			if units <= 0 {
				continue
			}
			given += units
			m.Transfers = append(m.Transfers, Transfer{Team: id, To: key.peer, Units: units})
			h.wants.met(key, units)
		}
	}
}

// met takes given units off a request.
func (w *wants) met(key askKey, units int64) {
	a := w.asks[key]
	a.units -= units
	a.lack -= units
	if a.units <= 0 {
		delete(w.asks, key)
		return
	}
	w.asks[key] = a
}

// askedTeams lists the teams for which peers have asked, in order.
func (h *Holder) askedTeams() []ident.TeamID {
	var out []ident.TeamID
	for key := range h.wants.asks {
		out = append(out, key.team)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// claim returns how many units a request has a claim to, after given units went
// to earlier ones: what this holder's own demand leaves free, or, if both are
// short, what this holder has beyond its part by demand. The parts add up to
// what both hold, so two short holders do not pass units to and fro.
func (h *Holder) claim(key askKey, given int64) int64 {
	a := h.wants.asks[key]
	waiting := h.wants.waiting[key.team]
	if h.leaving || !h.proof.stands() {
		waiting = 0
	}
	spare := h.loose(key.team) - given - waiting
	mine := h.used[key.team] + waiting
	held := h.fold.Held(key.team, h.cfg.Self) - h.aside[key.team] - given
	theirs := h.fold.Held(key.team, key.peer)
	keep := part(held+theirs, mine, mine+theirs+a.lack)
	return max(0, min(a.units, max(spare, held-keep)))
}

// part returns units * of / total, rounded up.
func part(units, of, total int64) int64 {
	if total <= 0 {
		return 0
	}
	return (units*of + total - 1) / total
}

// settleDebts notes what peers have a claim to and could not be given yet, so
// that units that become free go to them before new work of this host.
func (h *Holder) settleDebts() {
	clear(h.wants.owed)
	if h.phase != phaseMember {
		return
	}
	for key := range h.wants.asks {
		h.wants.owed[key.team] += h.claim(key, 0)
	}
}

// driftPart is the part of the difference that one gift without request moves.
const driftPart = 4

// drift gives a part of what lies unused here to the member that has least. It
// takes only from more than twice the even share and gives only up to half of
// it, so that no gift is ever returned by the same rule.
func (h *Holder) drift(m *Moves) {
	n := int64(len(h.fold.live))
	if n < 2 || h.leaving {
		return
	}
	for _, id := range h.fold.Teams() {
		t := h.fold.teams[id]
		even := t.limit / n
		if even == 0 || t.sum > t.limit || h.wants.waiting[id] > 0 {
			continue
		}
		surplus := min(h.loose(id)-m.pendingIn(id), t.held[h.cfg.Self]-2*even)
		to, least := h.poorest(t)
		units := min((surplus+driftPart-1)/driftPart, even/2-least)
		if units > 0 {
			m.Transfers = append(m.Transfers, Transfer{Team: id, To: to, Units: units})
		}
	}
}

// poorest returns the member that holds least of a team, first in order.
func (h *Holder) poorest(t *team) (ident.Holder, int64) {
	var to ident.Holder
	var least int64
	for _, peer := range h.fold.live {
		if peer == h.cfg.Self {
			continue
		}
		if to.IsZero() || t.held[peer] < least {
			to, least = peer, t.held[peer]
		}
	}
	return to, least
}

// giveToHeir gives a leaving holder's unused units away while others are in use.
func (h *Holder) giveToHeir(m *Moves) {
	heir := h.heir()
	if !h.leaving || heir.IsZero() {
		return
	}
	for _, id := range h.fold.Teams() {
		sum, limit := h.fold.Sum(id)
		units := h.loose(id) - m.pendingIn(id)
		if units > 0 && sum <= limit {
			m.Transfers = append(m.Transfers, Transfer{Team: id, To: heir, Units: units})
		}
	}
}

// heir returns the next member in order after this one, of the own zone if
// there is one, that is not leaving itself.
func (h *Holder) heir() ident.Holder {
	at, _ := slices.BinarySearchFunc(h.fold.live, h.cfg.Self, compareHolders)
	var far ident.Holder
	for i := range h.fold.live {
		peer := h.fold.live[(at+i)%len(h.fold.live)]
		if peer == h.cfg.Self || h.avoid[peer.Host] {
			continue
		}
		if h.distance(peer) == 0 {
			return peer
		}
		if far.IsZero() {
			far = peer
		}
	}
	return far
}

// draftLeave ends the membership once nothing is used or on its way.
func (h *Holder) draftLeave(d *draft) {
	heir := h.heir()
	if !h.leaving || heir.IsZero() || len(h.used) > 0 || len(h.aside) > 0 {
		return
	}
	d.add(Record{Leave: &Leave{To: heir}})
}

// limits is what the configuration says and the ledger may not know yet.
type limits struct {
	configured map[ident.TeamID]TeamLimit
	since      time.Duration // when the newest configuration came
	open       bool          // the ledger may lack one
}

func newLimits() limits { return limits{configured: map[ident.TeamID]TeamLimit{}} }

func (l *limits) configure(teams []TeamLimit, now time.Duration) {
	for _, t := range teams {
		if t.Version > l.configured[t.Team].Version {
			l.configured[t.Team] = t
			l.since = now
			l.open = true
		}
	}
}

// draftLimits states limits that the ledger lacks. The members do it one after
// the other, beginning with another one at each version, and whoever reads that
// it was done keeps quiet.
func (h *Holder) draftLimits(d *draft) {
	if !h.limit.open || h.now < h.limit.since+h.turn(uint64(len(h.limit.configured)))*h.cfg.ConfigStagger {
		return
	}
	var lacking []TeamLimit
	for id, want := range h.limit.configured {
		t := h.fold.teams[id]
		if t == nil || (want.Version > t.version && want.Limit != t.limit) {
			lacking = append(lacking, want)
		}
	}
	h.limit.open = len(lacking) > 0
	slices.SortFunc(lacking, func(a, b TeamLimit) int { return compareTeams(a.Team, b.Team) })
	for teams := range slices.Chunk(lacking, h.cfg.TeamsPerRecord) {
		d.add(Record{Limits: &Limits{Teams: teams}})
	}
}

// turn returns this member's place in a round that begins elsewhere for each
// seed.
func (h *Holder) turn(seed uint64) time.Duration {
	n := uint64(max(1, len(h.fold.live)))
	at, _ := slices.BinarySearchFunc(h.fold.live, h.cfg.Self, compareHolders)
	return time.Duration((uint64(at) + n - seed%n) % n)
}
