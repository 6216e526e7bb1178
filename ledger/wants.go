package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// askFanOut is how many peers are asked at once for one team.
const askFanOut = 2

// wants is the demand: this host's own, and what peers asked for.
type wants struct {
	waiting map[ident.TeamID]int64

	seq     uint64                         // of this holder's requests
	askAt   map[ident.TeamID]time.Duration // no request of the team before this
	askedAt map[askKey]time.Duration       // when a peer was last asked
	asks    map[askKey]ask                 // requests of peers, not yet met
	newest  map[askKey]uint64              // highest sequence of a peer's requests
	owed    map[ident.TeamID]int64         // to peers, to be paid with what becomes free
}

// askKey names the requests of one team between this holder and a peer.
type askKey struct {
	team ident.TeamID
	peer ident.Holder
}

// ask is a peer's request.
type ask struct {
	units int64
	lack  int64         // as in Ask, at least units
	at    time.Duration // when it came
}

func newWants() wants {
	return wants{
		askAt:   map[ident.TeamID]time.Duration{},
		askedAt: map[askKey]time.Duration{},
		asks:    map[askKey]ask{},
		newest:  map[askKey]uint64{},
		owed:    map[ident.TeamID]int64{},
	}
}

// asked notes a peer's request.
//
// It guards against gifts without need: a request that comes twice, or late
// after a newer one, is dropped, and none is remembered for long.
func (h *Holder) asked(ev Asked) {
	key := askKey{team: ev.Team, peer: ev.From}
	if ev.Units <= 0 || ev.Seq <= h.wants.newest[key] || !h.fold.Member(ev.From) {
		return
	}
	h.wants.newest[key] = ev.Seq
	h.wants.asks[key] = ask{units: ev.Units, lack: max(ev.Lack, ev.Units), at: h.now}
}

// ask asks peers for what the waiting work lacks: those of the own zone first,
// then those that hold most, none again while an earlier request is fresh.
func (h *Holder) ask() {
	h.wants.expire(h.now, h.cfg.AskTTL)
	if h.leaving || !h.proof.stands() {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(h.wants.waiting)) {
		lack := h.wants.waiting[team] - max(0, h.loose(team))
		sum, limit := h.fold.Sum(team)
		if lack <= 0 || sum > limit || h.now < h.wants.askAt[team] {
			continue
		}
		h.wants.askAt[team] = h.now + h.cfg.AskInterval
		h.askPeers(team, lack)
	}
}

func (h *Holder) askPeers(team ident.TeamID, lack int64) {
	left := lack
	for n, peer := range h.peers(team) {
		if left <= 0 || n == askFanOut {
			return
		}
		units := min(left, h.fold.Held(team, peer))
		left -= units
		h.wants.seq++
		h.wants.askedAt[askKey{team: team, peer: peer}] = h.now
		h.emit(Ask{Peer: peer, Team: team, Units: units, Lack: lack, Seq: h.wants.seq})
	}
}

// peers lists whom to ask.
func (h *Holder) peers(team ident.TeamID) []ident.Holder {
	var out []ident.Holder
	for _, peer := range h.fold.holders(team) {
		_, fresh := h.wants.askedAt[askKey{team: team, peer: peer}]
		if peer != h.cfg.Self && !fresh {
			out = append(out, peer)
		}
	}
	slices.SortStableFunc(out, func(a, b ident.Holder) int {
		return cmp.Or(
			cmp.Compare(h.distance(a), h.distance(b)),
			cmp.Compare(h.fold.Held(team, b), h.fold.Held(team, a)),
		)
	})
	return out
}

// distance is 0 inside the own zone and 1 outside.
func (h *Holder) distance(peer ident.Holder) int {
	if h.fold.Zone(peer) == h.cfg.Zone {
		return 0
	}
	return 1
}

// forget drops what is remembered of a peer that is gone for good.
func (w *wants) forget(peer ident.Holder) {
	maps.DeleteFunc(w.asks, func(key askKey, _ ask) bool { return key.peer == peer })
	maps.DeleteFunc(w.newest, func(key askKey, _ uint64) bool { return key.peer == peer })
}

// expire forgets requests that are too old.
func (w *wants) expire(now, ttl time.Duration) {
	maps.DeleteFunc(w.asks, func(_ askKey, a ask) bool { return now-a.at >= ttl })
	maps.DeleteFunc(w.askedAt, func(_ askKey, at time.Duration) bool { return now-at >= ttl })
}

// asksFor lists the requests of peers for a team, those of the given zone first,
// then by age.
func (h *Holder) asksFor(team ident.TeamID) []askKey {
	var out []askKey
	for key := range h.wants.asks {
		if key.team == team {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b askKey) int {
		return cmp.Or(
			cmp.Compare(h.distance(a.peer), h.distance(b.peer)),
			cmp.Compare(h.wants.asks[a].at, h.wants.asks[b].at),
			compareHolders(a.peer, b.peer),
		)
	})
	return out
}

// holders lists who holds units of a team, in order.
func (f *Fold) holders(id ident.TeamID) []ident.Holder {
	t := f.teams[id]
	if t == nil {
		return nil
	}
	return slices.SortedFunc(maps.Keys(t.held), compareHolders)
}
