package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// Guards against a gang that counts room of runs that were assigned, stopped or released since the
// sum for its worker was kept, in the same pass: it would reserve workers that do not become free.
func TestKeptSumsOfFreedRoomFollowRuns(t *testing.T) {
	s := fullScheduler(1)
	w := s.workerList[0]
	check := func(what string) {
		t.Helper()
		for _, within := range []time.Duration{time.Second, freeHorizon, 2 * time.Hour, 3 * time.Hour, 4 * time.Hour, 5 * time.Hour} {
			var want model.Resources
			for _, r := range w.runs {
				if !r.idle && r.endsAt < s.now+within {
					want = want.Add(r.demand)
				}
			}
			for range 2 {
				if got := s.freedWithin(w, within); got != want {
					t.Errorf("%s: freed within %v %v, want %v", what, within, got, want)
				}
			}
		}
	}
	check("full")
	r := w.runs[0]
	s.release(r)
	check("a run released")
	s.occupy(r)
	check("a run assigned")
	s.setIdle(r, true)
	check("a run idle")
	s.setIdle(r, false)
	check("a run in use again")
	r.startedAt = s.now - 200*time.Second
	s.confirm(r)
	check("a run confirmed")
	s.now += 400 * time.Second
	check("later")
}

// Guards against passes that look at every run of the region once for each gang that waits.
func TestRunsAreAddedUpOnceInAPass(t *testing.T) {
	s := fullScheduler(1)
	w := s.workerList[0]
	horizons := []time.Duration{time.Hour, 2 * time.Hour, 3 * time.Hour}
	var before []model.Resources
	for _, within := range horizons {
		before = append(before, s.freedWithin(w, within))
	}
	runs := w.runs
	w.runs = nil // a second look at them would show
	for i, within := range horizons {
		if got := s.freedWithin(w, within); got != before[i] || got == (model.Resources{}) {
			t.Errorf("freed within %v %v, want %v without another look at the runs", within, got, before[i])
		}
	}
	w.runs = runs
}
