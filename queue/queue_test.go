package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

func admitAll(*Class[int]) bool { return true }

// After any sequence of changes, the first item must belong to a team with the
// lowest share divided by weight and be the one due first in that team, and Len
// must match the number of items pushed and not removed.
func TestFirstItemBelongsToTeamWithLowestShare(t *testing.T) {
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
		t.Fatalf("%d items waiting, want %d", q.Len(), len(waiting))
	}
	first := q.First(admitAll)
	for _, item := range waiting {
		team := item.Class().Team
		if q.Share(team)/float64(team.Weight) < q.Share(first.Class().Team)/float64(first.Class().Team.Weight) {
			t.Fatalf("team %s is ordered after team %s, which has a higher share", team.ID, first.Class().Team.ID)
		}
		if team == first.Class().Team && item.before(first) {
			t.Fatalf("item due at %s is ordered after an item due at %s", item.Due, first.Due)
		}
	}
}

// With a steady stream of work with deadlines, older work without a deadline
// must start after a bounded number of other starts.
func TestDeadlinesDoNotStarveOlderWork(t *testing.T) {
	q := New[int](1)
	team := q.Team("a")
	plain := &Item[int]{Due: 1}
	q.Push(team, Shape{}, plain)
	for started := 0; ; started++ {
		q.Push(team, Shape{Pressing: true}, &Item[int]{Due: time.Duration(2 + started), Seq: uint64(started)})
		first := q.First(admitAll)
		q.Remove(first)
		if first == plain {
			if started != maxPressingStreak {
				t.Errorf("older work started after %d starts, want %d", started, maxPressingStreak)
			}
			return
		}
		if started > maxPressingStreak {
			t.Fatal("older work never started")
		}
		team.RecordStart(&Class[int]{Shape: Shape{Pressing: true}})
	}
}

// Urgent work must come before all other work while its team uses at most
// urgentOver times its share, and not beyond that.
func TestUrgentComesFirstOnlyWithinBound(t *testing.T) {
	q := New[int](1.5)
	q.SetTotal(resource.Vector{MilliCPU: 1000})
	urgent, plain := &Item[int]{Due: 9}, &Item[int]{Due: 1}
	q.Push(q.Team("urgent"), Shape{Urgent: true}, urgent)
	q.Push(q.Team("plain"), Shape{}, plain)
	q.Use(q.Team("urgent"), resource.Vector{MilliCPU: 700})
	if q.First(admitAll) != urgent {
		t.Error("urgent work within its bound is not first")
	}
	q.Use(q.Team("urgent"), resource.Vector{MilliCPU: 100})
	if q.First(admitAll) != plain {
		t.Error("urgent work beyond its bound is still first")
	}
}

// The part of its share that a team does not want must go to the other teams by
// weight.
func TestFairSharesRedistributeWhatATeamDoesNotWant(t *testing.T) {
	teams := []Demand{{Weight: 1, Used: 0.7, Wants: 0.9}, {Weight: 1, Used: 0.1, Wants: 0.1}, {Weight: 3, Used: 0.2, Wants: 1}}
	SetFairShares(teams)
	for i, want := range []float64{0.225, 0.1, 0.675} {
		if got := teams[i].FairShare; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("team %d: %v, want %v", i, got, want)
		}
	}
}

// A team has more than a thousand classes, one of which fits. A single scan must
// visit at most maxScan of them, or the other teams are delayed; successive
// scans must find the class that fits.
func TestScanOfManyDifferentNeedsIsBounded(t *testing.T) {
	const needs = 4 * maxScan
	q := New[int](1)
	for i := range needs {
		q.Push(q.Team("a"), Shape{Need: resource.Vector{MemoryMiB: int64(i)}}, &Item[int]{Owner: i})
	}
	const fits = needs - 1
	for scans := 1; ; scans++ {
		visited := 0
		item := q.First(func(class *Class[int]) bool {
			visited++
			return class.Head().Owner == fits
		})
		if visited > maxScan {
			t.Fatalf("one scan visited %d classes, more than maxScan", visited)
		}
		if item != nil {
			return
		}
		if !q.PartialScan() || scans > needs/maxScan {
			t.Fatalf("scan %d: the class that fits was not found", scans)
		}
	}
}
