package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Health constants of a worker.
const (
	latencyGain            = 0.2                    // weight of a new sample in the moving average
	failureGain            = 0.25                   // same for the failure rate
	quarantineRate         = 0.6                    // failure rate above which a worker is quarantined
	quarantineFirst        = 500 * time.Millisecond // first quarantine; doubles up to quarantineMax
	quarantineMax          = 30 * time.Second
	minConsecutiveFailures = 3 // before a quarantine can begin
)

// worker is the state of one worker whose slots lease this host holds.
type worker struct {
	id       ident.WorkerID
	rack     string
	services []ident.ServiceID
	slots    int64
	occupied int64 // slots in use by calls of earlier lease holders
	inFlight int64 // calls of this host
	leaving  bool

	avgLatency          float64 // moving average in seconds
	failureRate         float64 // moving failure rate, 0 to 1
	consecutiveFailures int

	// A worker that fails every call finishes it fast and always has the lowest
	// load. Without a quarantine it would get most requests of its zone. While
	// quarantined it gets one trial call at each trialAt; a success ends the
	// quarantine.
	quarantined      bool
	trialAt          time.Duration
	trialInFlight    bool
	quarantinePeriod time.Duration
}

// free returns the number of slots available for new calls.
func (w *worker) free() int64 { return w.slots - w.occupied - w.inFlight }

// serves reports whether the worker serves the given service.
func (w *worker) serves(s ident.ServiceID) bool {
	for _, have := range w.services {
		if have == s {
			return true
		}
	}
	return false
}

// eligible reports whether the worker may get a new call of the given service
// at time now.
func (w *worker) eligible(now time.Duration, s ident.ServiceID) bool {
	if w.leaving || w.free() <= 0 || !w.serves(s) {
		return false
	}
	if !w.quarantined {
		return true
	}
	return !w.trialInFlight && now >= w.trialAt
}

// load estimates the delay of one more call; the lowest load is chosen.
func (w *worker) load() float64 {
	busy := float64(w.inFlight+w.occupied+1) / float64(max(w.slots, 1))
	return busy * (w.avgLatency + 0.001)
}

// begin records a call that is about to be sent.
func (w *worker) begin() {
	w.inFlight++
	if w.quarantined {
		w.trialInFlight = true
	}
}

// finish records the end of a call and updates latency, failure rate and
// quarantine.
func (w *worker) finish(now, took time.Duration, failed bool) {
	w.inFlight--
	w.trialInFlight = false
	sample := 0.0
	if failed {
		sample = 1
	}
	w.failureRate += failureGain * (sample - w.failureRate)
	if !failed {
		w.avgLatency += latencyGain * (took.Seconds() - w.avgLatency)
		w.consecutiveFailures = 0
		w.quarantined = false
		w.quarantinePeriod = 0
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures >= minConsecutiveFailures && w.failureRate >= quarantineRate {
		w.quarantine(now)
	}
}

// quarantine excludes the worker from selection until its next trial call.
func (w *worker) quarantine(now time.Duration) {
	w.quarantined = true
	w.quarantinePeriod = min(max(w.quarantinePeriod*2, quarantineFirst), quarantineMax)
	w.trialAt = now + w.quarantinePeriod
}
