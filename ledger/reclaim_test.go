package ledger

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/google/go-cmp/cmp"
)

// yard is a zone of workers whose leases a test hands out. Ann is the scheduler.
type yard struct {
	r      *Reclaimer
	now    time.Duration
	leases map[leaseKey]LeaseSeen
	list   []ident.WorkerID
	deaf   bool // the list is seen only once
	proved []Proved
}

const testListLag = 5 * time.Second

// newYard has two workers, all leases with ann but the slots of w2 with cyd, and
// bob suspected.
func newYard() *yard {
	y := &yard{
		r:      NewReclaimer(ann, testListLag),
		leases: map[leaseKey]LeaseSeen{},
		list:   []ident.WorkerID{"w1", "w2"},
	}
	for _, w := range y.list {
		y.lease(w, ports.ClassSlots, ann)
		y.lease(w, ports.ClassCompute, ann)
	}
	y.lease("w2", ports.ClassSlots, cyd)
	y.step(Suspect{Holder: bob})
	return y
}

func (y *yard) lease(w ident.WorkerID, class ports.LeaseClass, h ident.Holder, tasks ...RunningTask) {
	y.leases[leaseKey{w, class}] = LeaseSeen{Worker: w, Class: class, Holder: h, Left: 3 * time.Second, Tasks: tasks}
}

func (y *yard) step(ev ReclaimEvent) {
	for _, cmd := range y.r.Step(y.now, ev) {
		if p, ok := cmd.(Proved); ok {
			y.proved = append(y.proved, p)
		}
	}
}

// run lets time pass, with the list and all leases seen every second, except
// those that are left out.
func (y *yard) run(d time.Duration, without ...leaseKey) {
	for end := y.now + d; y.now < end; y.now += time.Second {
		if !y.deaf || y.now == 0 {
			y.step(Workers{Workers: y.list})
		}
		for _, w := range y.list {
			for _, class := range []ports.LeaseClass{ports.ClassSlots, ports.ClassCompute} {
				key := leaseKey{w, class}
				if seen, ok := y.leases[key]; ok && !contains(without, key) {
					y.step(seen)
				}
			}
		}
	}
}

func contains(keys []leaseKey, key leaseKey) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}

// A team runs twice its limit: the units of a host were taken over while it
// could still start work somewhere, or while work of it ran that nobody counted.
func TestReclaimNeedsProof(t *testing.T) {
	mine := RunningTask{ID: "t", By: bob, Team: acme, Units: 2}
	for _, c := range []struct {
		name   string
		change func(y *yard)
		proved int
	}{
		{"all leased by others", func(y *yard) {}, 1},
		{"holds one slots lease", func(y *yard) { y.lease("w1", ports.ClassSlots, bob) }, 0},
		{"holds one compute lease", func(y *yard) { y.lease("w2", ports.ClassCompute, bob) }, 0},
		{"another scheduler", func(y *yard) { y.lease("w2", ports.ClassCompute, cyd) }, 0},
		{"a lease nobody has seen", func(y *yard) { delete(y.leases, leaseKey{"w2", ports.ClassSlots}) }, 0},
		{"a request runs", func(y *yard) { y.lease("w2", ports.ClassSlots, cyd, mine) }, 0},
		{"a compute task runs here", func(y *yard) { y.lease("w2", ports.ClassCompute, ann, mine) }, 1},
		{"a worker not yet leased", func(y *yard) { y.list = append(y.list, "w3") }, 0},
		{"seen alive", func(y *yard) { y.step(Alive{Holder: bob}) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newYard()
			c.change(y)
			y.run(time.Minute)
			if len(y.proved) != c.proved {
				t.Fatalf("%d proofs, want %d", len(y.proved), c.proved)
			}
		})
	}
}

// The proof is put together from leases that were never all with others at one
// moment: the suspect lost one worker, got it back, and lost the other.
func TestReclaimNeedsOneMoment(t *testing.T) {
	y := newYard()
	first, second := leaseKey{"w1", ports.ClassSlots}, leaseKey{"w2", ports.ClassSlots}
	for range 5 {
		y.run(15*time.Second, first)
		y.run(15*time.Second, second)
	}
	if len(y.proved) != 0 {
		t.Fatal("proved from leases that did not overlap")
	}
}

// A suspect that is alive gets a worker so new that the scheduler has not heard
// of it, just before it loses its last other one; it never was without a lease.
// The others must have been leased for as long as the list may lag.
func TestReclaimWaitsForTheListsLag(t *testing.T) {
	y := newYard()
	y.run(2 * testListLag)
	if len(y.proved) != 0 {
		t.Fatalf("proved after %v", y.now)
	}
	y.run(2 * time.Second)
	if len(y.proved) != 1 {
		t.Fatalf("not proved after %v", y.now)
	}
	y = newYard()
	y.deaf = true
	y.run(time.Minute)
	if len(y.proved) != 0 {
		t.Fatal("proved on an old list")
	}
}

// Units of adopted tasks are lost or counted twice.
func TestReclaimCountsAdoptedTasks(t *testing.T) {
	y := newYard()
	y.lease("w1", ports.ClassCompute, ann,
		RunningTask{ID: "1", By: bob, Team: acme, Units: 2}, RunningTask{ID: "2", By: ann, Team: acme, Units: 4})
	y.lease("w2", ports.ClassCompute, ann,
		RunningTask{ID: "3", By: bob, Team: acme, Units: 3}, RunningTask{ID: "4", By: bob, Team: "other", Units: 1})
	y.run(time.Minute)
	if len(y.proved) != 1 {
		t.Fatalf("%d proofs", len(y.proved))
	}
	want := map[ident.TeamID]int64{acme: 5, "other": 1}
	if diff := cmp.Diff(want, y.proved[0].Adoption()); diff != "" {
		t.Fatal(diff)
	}
}
