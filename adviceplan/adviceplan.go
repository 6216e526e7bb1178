// Package adviceplan decides which workers the calls for advice about a gang name, and in how many
// calls. It has no I/O, clock or goroutines.
//
// A gang starts when it has valid tickets, at one time, for workers with room for all its members.
// The service works for a long time on a call that names many workers, and a ticket is valid for
// little longer. So a call names only workers that the gang is likely to use, and where one call
// cannot cover them, several are sent to the service at once.
package adviceplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// coverage is how many places a plan covers for each member of the gang: some fill up
	// before the answer, and the share of eligible workers is an estimate.
	coverage = 3
	// priorAsked and priorEligible are the answers that an estimate of the share of eligible
	// workers begins with: a third, as little as is usual for work with long calls.
	priorAsked, priorEligible = 30.0, 10.0
	// maxAsked bounds the answers that an estimate rests on, so that it follows a change.
	maxAsked = 3000.0
)

// Candidate is a worker that a call may name.
type Candidate struct {
	Places   int  // members of the gang that are expected to fit there when the answer arrives
	Eligible bool // an earlier answer allows the worker
	Fresh    bool // and its ticket is still valid when the answer arrives
	Reserved bool // it is reserved for the gang
}

// Plan returns the candidates that calls are to name, as indexes, in as few calls as cover the
// gang's members. A call names at most maxPerCall workers. eligibleShare is the expected share of
// eligible ones among those without an answer.
//
// Reserved workers come first, then those with an answer that allows them, then those with most
// places; workers without room come last. If all together are not expected to hold the gang, one
// call asks about workers without an answer, if there are some: it shows for which ones the gang
// may wait.
func Plan(candidates []Candidate, members, maxPerCall int, eligibleShare float64) [][]int {
	var expected float64 // places on eligible workers
	order := make([]int, 0, len(candidates))
	for i, c := range candidates {
		switch {
		case c.Fresh:
			expected += float64(c.Places)
		case c.Eligible && c.Places == 0: // a new ticket would not help
		default:
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(candidates[a], candidates[b]) })
	wanted := coverage * float64(members)
	fresh := expected
	n := 0
	for ; n < len(order) && expected < wanted && candidates[order[n]].Places > 0; n++ {
		expected += expectedPlaces(candidates[order[n]], eligibleShare)
	}
	switch {
	case fresh >= wanted || n == 0 && fresh >= float64(members):
		return nil
	case expected < float64(members):
		return learn(candidates, order, maxPerCall)
	}
	return split(order[:n], maxPerCall)
}

func compare(a, b Candidate) int {
	return cmp.Or(compareBool(a.Reserved, b.Reserved), compareBool(a.Places > 0, b.Places > 0),
		compareBool(a.Eligible, b.Eligible), cmp.Compare(b.Places, a.Places))
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func expectedPlaces(c Candidate, eligibleShare float64) float64 {
	if c.Eligible {
		return float64(c.Places)
	}
	return eligibleShare * float64(c.Places)
}

// learn returns one call about workers without an answer.
func learn(candidates []Candidate, order []int, maxPerCall int) [][]int {
	unknown := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return candidates[i].Eligible })
	if len(unknown) == 0 {
		return nil
	}
	return [][]int{unknown[:min(len(unknown), maxPerCall)]}
}

// split deals the indexes to as few calls as hold them, of about equal length: the last answer
// counts. The best candidates are dealt out evenly.
func split(order []int, maxPerCall int) [][]int {
	calls := make([][]int, (len(order)+maxPerCall-1)/maxPerCall)
	for i, index := range order {
		calls[i%len(calls)] = append(calls[i%len(calls)], index)
	}
	return calls
}

// Share estimates the share of workers that are eligible for the steps of a queue. The zero value
// is ready for use.
type Share struct{ asked, eligible float64 }

// Observe adds the answer to a call about workers without an earlier answer.
func (s *Share) Observe(asked, eligible int) {
	s.asked += float64(asked)
	s.eligible += float64(eligible)
	if s.asked > maxAsked {
		s.eligible *= maxAsked / s.asked
		s.asked = maxAsked
	}
}

// Get returns the estimate, above 0 and at most 1.
func (s *Share) Get() float64 {
	return (s.eligible + priorEligible) / (s.asked + priorAsked)
}

const (
	// scarcityWindow is the time over which Scarcity averages: some calls of the longest kind.
	scarcityWindow = 2 * time.Second
	// Advice is scarce from scarceAbove on until the average falls below plentifulBelow. The gap
	// keeps the state from changing with each burst of work.
	scarceAbove    = 0.6
	plentifulBelow = 0.3
)

// Scarcity tells whether the steps of a queue wait for the advice service most of the time. The
// zero value is ready for use.
type Scarcity struct {
	level  float64 // average share of time in which a call was held back
	at     time.Duration
	scarce bool
}

// Observe records whether a call was held back in the time since the last Observe, as all hosts had
// calls to wait for.
func (s *Scarcity) Observe(now time.Duration, heldBack bool) {
	if s.at > 0 && now > s.at {
		var x float64
		if heldBack {
			x = 1
		}
		s.level += (x - s.level) * (1 - math.Exp(-float64(now-s.at)/float64(scarcityWindow)))
	}
	s.at = now
	switch {
	case s.level > scarceAbove:
		s.scarce = true
	case s.level < plentifulBelow:
		s.scarce = false
	}
}

// Scarce reports whether advice is scarce.
func (s *Scarcity) Scarce() bool { return s.scarce }
