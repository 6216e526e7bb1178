package ledger

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// A host is paused, its workers are leased by another one, its units taken over;
// it wakes and starts tasks with units that are used elsewhere by then. It must
// use nothing after its leases broke before it knows, and start over.
func TestPausedHolderFindsItselfReclaimed(t *testing.T) {
	w := newWorld(t, "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	heir, paused := w.hosts[0], w.hosts[1]
	w.mustUse(paused, 10)
	paused.dead = true
	w.lease(paused, false)
	w.prove(heir, paused)
	w.run(2 * time.Second)
	if !heard[Reclaimed](heir) || heir.holder.Held(acme) != 100 || heir.holder.Used(acme) != 10 {
		t.Fatalf("heir holds %d, uses %d", heir.holder.Held(acme), heir.holder.Used(acme))
	}
	w.wake(paused)
	w.use(heir, 100)
	w.lease(paused, true)
	if n := w.use(paused, 5); n != 0 {
		t.Fatalf("%d started by a holder without units", n)
	}
	w.run(2 * time.Second)
	if !heard[Dethroned](paused) {
		t.Fatal("the paused holder does not know")
	}
	if n := w.use(paused, 5); n != 0 {
		t.Fatalf("%d started after the end", n)
	}
	paused.calls.Drop()
	w.now += time.Minute
	w.step(paused, Tick{})
	if paused.calls.Len() != 0 {
		t.Fatal("goes on after the end")
	}
}

// A scheduler that has not joined yet is handed a proof, runs the dead host's
// tasks, and counts their end as units that it never had: work starts that no
// unit covers. It must be told that the reclaim had no effect.
func TestReclaimByStrangerIsVoid(t *testing.T) {
	w := newWorld(t, "a")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	stranger := w.birth("a")
	w.step(stranger, ReclaimProved{Dead: w.hosts[0].name, Adopted: map[ident.TeamID]int64{acme: 7}})
	if !heard[ReclaimVoid](stranger) || stranger.holder.Used(acme) != 0 {
		t.Fatalf("uses %d", stranger.holder.Used(acme))
	}
	stranger.holder.Done(acme, 7)
	if used := stranger.holder.Used(acme); used != 0 {
		t.Fatalf("uses %d", used)
	}
}

// The proof that a host is dead stands, and before the reclaim lands the host
// comes back, gets a lease, reads that nobody took its units, and uses them;
// then the reclaim lands. The record that the host writes must void it.
func TestReclaimAfterReturnIsVoid(t *testing.T) {
	w := newWorld(t, "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	other, back := w.hosts[0], w.hosts[1]
	w.lease(back, false)
	w.prove(other, back)
	other.dead = true
	back.heard = nil
	w.lease(back, true)
	w.run(2 * time.Second)
	if !heard[Changed](back) {
		t.Fatal("work that waits is not told that units can be used again")
	}
	w.mustUse(back, 50)
	w.wake(other)
	w.run(2 * time.Second)
	if !heard[ReclaimVoid](other) || heard[Reclaimed](other) {
		t.Fatal("the reclaim of a living holder counted")
	}
	w.use(other, 100)
	if running := w.running(acme); running != 100 {
		t.Fatalf("%d run, want 100", running)
	}
}

// A fleet is replaced host by host. Each gives its units away before it ends,
// so that none are locked up in holders that are gone.
func TestRollingReplacementKeepsUnits(t *testing.T) {
	w := newWorld(t, "a", "a", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(2 * time.Second)
	for i := range 3 {
		old := w.hosts[i]
		w.birth(old.zone)
		w.run(2 * time.Second)
		w.use(old, 5)
		w.step(old, Leaving{})
		w.run(2 * time.Second)
		if heard[Left](old) {
			t.Fatal("left with tasks running")
		}
		w.endAll(old, 100)
		w.run(2 * time.Second)
		if !heard[Left](old) {
			t.Fatal("did not leave")
		}
		old.dead = true
	}
	if got := len(w.truth.Members()); got != 3 {
		t.Fatalf("%d members", got)
	}
	if sum, _ := w.truth.Sum(acme); sum != 100 {
		t.Fatalf("%d units, want 100", sum)
	}
}

// Every host is new and the records that minted the units have expired. With a
// snapshot the new host sees what the old ones saw. Without one it must not mint
// what somebody may hold, and says so.
func TestExpiredRecords(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	w.run(25 * time.Second)
	w.log.Expire(w.truth.snapshotAt + 1)
	fresh := w.birth("b")
	w.run(2 * time.Second)
	if !heard[Joined](fresh) {
		t.Fatal("a fresh host did not join from the snapshot")
	}
	if got, want := fresh.holder.fold.Held(acme, w.hosts[0].name), w.hosts[0].holder.Held(acme); got != want {
		t.Fatalf("the fresh host reads %d units, want %d", got, want)
	}
	w.log.Expire(w.log.Last() + 1)
	w.hosts = nil
	lost := w.birth("a")
	w.run(2 * time.Second)
	w.configure(acme, 100)
	if !heard[Incomplete](lost) || heard[Joined](lost) || w.use(lost, 1) != 0 {
		t.Fatal("a host went on without knowing who holds what")
	}
	w.step(lost, ResetOrdered{})
	w.truth = NewFold()
	w.truth.after = w.log.Last()
	w.supply = map[ident.TeamID]int64{}
	w.run(4 * time.Second)
	w.mustUse(lost, 100)
}
