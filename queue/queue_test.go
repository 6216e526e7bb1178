package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

func all(*Class[int]) bool { return true }

// Over random changes the first item is always one of a team with the lowest
// share by weight, and the counts agree with what was pushed.
func TestOrderOfTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](1)
		q.SetTotal(resource.Vector{MilliCPU: 1000, MemoryMiB: 500})
		var waiting []*Item[int]
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			team := q.Team(ident.TeamID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "team"))))
			amount := resource.Vector{MilliCPU: int64(rapid.IntRange(0, 50).Draw(t, "cpu")), MemoryMiB: int64(rapid.IntRange(0, 50).Draw(t, "memory"))}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				q.Use(team, amount)
			case 1:
				q.SetWeight(team, int64(rapid.IntRange(1, 5).Draw(t, "weight")))
			case 2:
				if n := len(waiting); n > 0 {
					q.Remove(waiting[n-1])
					waiting = waiting[:n-1]
				}
			default:
				item := &Item[int]{Due: time.Duration(amount.MilliCPU), Seq: uint64(len(waiting))}
				q.Push(team, Shape{Need: amount}, item)
				waiting = append(waiting, item)
			}
			checkFirst(t, q, waiting)
		}
	})
}

func checkFirst(t *rapid.T, q *Queue[int], waiting []*Item[int]) {
	if q.Len() != len(waiting) {
		t.Fatalf("%d wait, want %d", q.Len(), len(waiting))
	}
	first := q.First(all)
	for _, item := range waiting {
		team := item.Class().Team
		if q.Share(team)/float64(team.Weight) < q.Share(first.Class().Team)/float64(first.Class().Team.Weight) {
			t.Fatalf("team %s is behind team %s with a higher share", team.ID, first.Class().Team.ID)
		}
		if team == first.Class().Team && item.before(first) {
			t.Fatalf("item due at %s is behind one due at %s", item.Due, first.Due)
		}
	}
}

// Work with deadlines arrives all the time and older work without one waits.
// The older work must get a turn after a bounded number of starts.
func TestDeadlinesDoNotStarveOlderWork(t *testing.T) {
	q := New[int](1)
	team := q.Team("a")
	plain := &Item[int]{Due: 1}
	q.Push(team, Shape{}, plain)
	for started := 0; ; started++ {
		q.Push(team, Shape{Pressing: true}, &Item[int]{Due: time.Duration(2 + started), Seq: uint64(started)})
		first := q.First(all)
		q.Remove(first)
		if first == plain {
			if started != pressingRun {
				t.Errorf("after %d starts, want %d", started, pressingRun)
			}
			return
		}
		if started > pressingRun {
			t.Fatal("the older work never starts")
		}
		team.Started(&Class[int]{Shape: Shape{Pressing: true}})
	}
}

// Urgent work comes before all other, but not when its team is far over its
// share.
func TestUrgentWithinItsBound(t *testing.T) {
	q := New[int](1.5)
	q.SetTotal(resource.Vector{MilliCPU: 1000})
	urgent, plain := &Item[int]{Due: 9}, &Item[int]{Due: 1}
	q.Push(q.Team("urgent"), Shape{Urgent: true}, urgent)
	q.Push(q.Team("plain"), Shape{}, plain)
	q.Use(q.Team("urgent"), resource.Vector{MilliCPU: 700})
	if q.First(all) != urgent {
		t.Error("within its bound, urgent work is not first")
	}
	q.Use(q.Team("urgent"), resource.Vector{MilliCPU: 100})
	if q.First(all) != plain {
		t.Error("beyond its bound, urgent work is still first")
	}
}

// What is left by a team that wants little goes to the others by weight.
func TestDivide(t *testing.T) {
	teams := []Demand{{Weight: 1, Used: 0.7, Wants: 0.9}, {Weight: 1, Used: 0.1, Wants: 0.1}, {Weight: 3, Used: 0.2, Wants: 1}}
	Divide(teams)
	for i, want := range []float64{0.225, 0.1, 0.675} {
		if got := teams[i].Fair; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("team %d: %v, want %v", i, got, want)
		}
	}
}

// One team waits with thousands of different needs, one of which fits. Others
// must not wait while all are looked at; and the one that fits must be found
// after a few turns.
func TestManyDifferentNeedsAreLookedAtInTurns(t *testing.T) {
	const needs = 4 * lookMost
	q := New[int](1)
	for i := range needs {
		q.Push(q.Team("a"), Shape{Need: resource.Vector{MemoryMiB: int64(i)}}, &Item[int]{Owner: i})
	}
	const fits = needs - 1
	for turns := 1; ; turns++ {
		looks := 0
		item := q.First(func(class *Class[int]) bool {
			looks++
			return class.Head().Owner == fits
		})
		if looks > lookMost {
			t.Fatalf("%d classes were looked at", looks)
		}
		if item != nil {
			return
		}
		if !q.Partial() || turns > needs/lookMost {
			t.Fatalf("turn %d: the need that fits was not found", turns)
		}
	}
}
