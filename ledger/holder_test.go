package ledger

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

const acme ident.TeamID = "acme"

// use starts tasks of one unit until none is given, at most n.
func (w *world) use(h *host, n int) int {
	started := 0
	for started < n && w.start(h, acme, 1) {
		started++
	}
	w.check()
	return started
}

func (w *world) mustUse(h *host, n int) {
	w.t.Helper()
	if got := w.use(h, n); got != n {
		w.t.Fatalf("%v started %d of %d", h.name, got, n)
	}
}

// endAll ends the tasks of a host, at most n.
func (w *world) endAll(h *host, n int) {
	for i := len(w.tasks) - 1; i >= 0 && n > 0; i-- {
		if w.tasks[i].owner == h {
			w.end(i)
			n--
		}
	}
}

func heard[C any](h *host) bool {
	for _, cmd := range h.heard {
		if _, ok := cmd.(C); ok {
			return true
		}
	}
	return false
}

// A team with a limit of 100 runs 60 tasks in one zone although its units were
// minted evenly: the host in demand asks, the others give what they do not use.
func TestUnitsFollowDemand(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	for _, h := range w.hosts {
		if got := h.holder.Held(acme); got != 25 {
			t.Fatalf("%v holds %d, want 25", h.name, got)
		}
	}
	h := w.hosts[0]
	w.mustUse(h, 25)
	w.step(h, Waiting{Units: map[ident.TeamID]int64{acme: 35}})
	w.run(3 * time.Second)
	w.mustUse(h, 35)
	if held := w.hosts[1].holder.Held(acme); held != 0 {
		t.Fatalf("the peer of the own zone still holds %d", held)
	}
}

// A team runs 101 tasks on a limit of 100 because a gift was on its way while
// the giver went on using it. Order: the giver appends a transfer, its answer is
// lost, the units must stay out of use until the stream tells; if the append
// never took effect they come back.
func TestUnitsBeingGivenAreNotUsed(t *testing.T) {
	for _, fate := range []fakelog.Fate{fakelog.AnswerLost, fakelog.RequestLost, fakelog.Late, fakelog.Doubled} {
		w := newWorld(t, "a", "a")
		w.run(2 * time.Second)
		w.configure(acme, 100)
		w.run(2 * time.Second)
		giver, taker := w.hosts[0], w.hosts[1]
		w.run(time.Second)
		w.step(giver, Asked{From: taker.name, Team: acme, Units: 30, Seq: 1})
		for range 20 {
			w.step(giver, Tick{})
			if i := giver.calls.Append(); i >= 0 {
				w.answer(giver, i, fate)
				break
			}
			w.now += 50 * time.Millisecond
		}
		if fate != fakelog.Doubled {
			if free := giver.holder.Free(acme); free != 20 {
				t.Fatalf("fate %d: %d free while 30 of 50 are on their way", fate, free)
			}
		}
		w.use(giver, 50)
		w.run(3 * time.Second)
		for w.log.LateGroups() > 0 {
			w.log.LandLate(0)
		}
		w.run(time.Second)
		w.use(giver, 100)
		w.use(taker, 100)
		if running := w.running(acme); running != 100 {
			t.Fatalf("fate %d: %d run, want 100", fate, running)
		}
	}
}

// After an operator lowers a limit from 100 to 50 new tasks still start on top
// of the 60 that run, because a host whose zone is cut off has not given its
// part. Order: both use 30 of their 50; the limit falls; one host cannot reach
// the log. The other must start nothing until it knows the sum to fit.
func TestLoweredLimitStartsNothingAbove(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	near, cut := w.hosts[0], w.hosts[1]
	w.mustUse(near, 30)
	w.mustUse(cut, 30)
	cut.dead = true
	w.configure(acme, 50, near)
	w.run(3 * time.Second)
	if n := w.use(near, 100); n != 0 {
		t.Fatalf("%d started above the lowered limit", n)
	}
	if held := near.holder.Held(acme); held != 30 {
		t.Fatalf("holds %d, want the 30 in use", held)
	}
	w.endAll(near, 30)
	w.run(3 * time.Second)
	if held := near.holder.Held(acme); held != 0 {
		t.Fatalf("holds %d while the cut-off host may use all 50", held)
	}
	w.wake(cut)
	w.run(3 * time.Second)
	if sum, _ := w.truth.Sum(acme); sum != 50 {
		t.Fatalf("%d units, want 50", sum)
	}
}

// Two operators set a limit to 50 and then to 80 within a second, and a host
// that hears of 50 last puts it in force again. The higher configuration must
// win in whatever order hosts state them.
func TestRaisedAndLoweredInQuickSuccession(t *testing.T) {
	w := newWorld(t, "a", "a", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	w.configure(acme, 50, w.hosts[1])
	w.configure(acme, 80, w.hosts[0])
	w.run(5 * time.Second)
	if sum, limit := w.truth.Sum(acme); sum != 80 || limit != 80 {
		t.Fatalf("sum %d, limit %d, want 80", sum, limit)
	}
}

// One host runs a long batch and fills a team's whole limit; work of the same
// team on another host starves, since every unit that becomes free is used again
// on the first. Units that a short peer has a claim to go to it first.
func TestShortHostsShare(t *testing.T) {
	w := newWorld(t, "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 40)
	w.run(2 * time.Second)
	first, second := w.hosts[0], w.hosts[1]
	w.step(first, Waiting{Units: map[ident.TeamID]int64{acme: 100}})
	w.run(3 * time.Second)
	w.mustUse(first, 40)
	for range 40 {
		for _, h := range w.hosts {
			w.step(h, Waiting{Units: map[ident.TeamID]int64{acme: 140 - h.holder.Used(acme)}})
		}
		w.endAll(first, 4)
		w.use(first, 4)
		w.run(250 * time.Millisecond)
		w.use(second, 40)
	}
	if a, b := first.holder.Held(acme), second.holder.Held(acme); a != 20 || b != 20 {
		t.Fatalf("%d and %d units for the same demand, want 20 and 20", a, b)
	}
	moved := w.log.Last()
	w.run(5 * time.Second)
	if grown := w.log.Last() - moved; grown > 5 {
		t.Fatalf("%d records while nothing changed", grown)
	}
}

// A request for units comes twice, and a second time a minute late, and the
// asker gets what it wanted three times over.
func TestRepeatedRequestIsMetOnce(t *testing.T) {
	w := newWorld(t, "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	giver, taker := w.hosts[0], w.hosts[1]
	for range 3 {
		w.step(giver, Asked{From: taker.name, Team: acme, Units: 10, Seq: 1})
		w.run(time.Second)
	}
	if held := giver.holder.Held(acme); held != 40 {
		t.Fatalf("gave down to %d, want 40", held)
	}
}

// A zone's hosts leave all at once and give their units to one another, so that
// in the end they lie with holders that are gone.
func TestLeavingHostsDoNotInherit(t *testing.T) {
	w := newWorld(t, "a", "a", "a", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	all := []ident.HostID{w.hosts[0].name.Host, w.hosts[1].name.Host, w.hosts[2].name.Host}
	for _, h := range w.hosts[:3] {
		w.step(h, Leaving{Avoid: all})
	}
	w.run(3 * time.Second)
	if held := w.hosts[3].holder.Held(acme); held != 100 {
		t.Fatalf("the host that stays holds %d", held)
	}
}
