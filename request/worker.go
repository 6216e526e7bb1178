package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Health constants of a worker.
const (
	latencyGain            = 0.2                    // weight of a new sample in the moving average
	failureGain            = 0.25                   // likewise for the failure rate
	quarantineRate         = 0.6                    // failure rate above which a worker is quarantined
	quarantineFirst        = 500 * time.Millisecond // first quarantine; doubles up to quarantineMax
	quarantineMax          = 30 * time.Second
	minConsecutiveFailures = 3 // failures in a row before a quarantine can begin
)

// worker is what the router knows of one worker whose slots lease it holds.
type worker struct {
	id       ident.WorkerID
	rack     string
	services []ident.ServiceID
	slots    int64
	occupied int64 // by calls of earlier holders
	inFlight int64 // by calls of this host
	leaving  bool

	avgLatency          float64 // moving average in seconds
	failureRate         float64 // moving failure rate, 0 to 1
	consecutiveFailures int     // failures in a row

	// A worker that fails everything finishes fast and so always looks idle.
	// Without a quarantine it would draw most requests of its zone. While
	// quarantined it gets one probe at each expiry, and returns on success.
	quarantined      bool
	trialAt          time.Duration
	trialInFlight    bool
	quarantinePeriod time.Duration
}

// free returns the number of slots open for new calls.
func (w *worker) free() int64 { return w.slots - w.occupied - w.inFlight }

// serves reports whether the upstream answers on this worker.
func (w *worker) serves(s ident.ServiceID) bool {
	for _, have := range w.services {
		if have == s {
			return true
		}
	}
	return false
}

// eligible reports whether the worker may get a new call at now.
func (w *worker) eligible(now time.Duration, s ident.ServiceID) bool {
	if w.leaving || w.free() <= 0 || !w.serves(s) {
		return false
	}
	if !w.quarantined {
		return true
	}
	return !w.trialInFlight && now >= w.trialAt
}

// load orders workers for choice: the expected delay of one more call.
func (w *worker) load() float64 {
	busy := float64(w.inFlight+w.occupied+1) / float64(max(w.slots, 1))
	return busy * (w.avgLatency + 0.001)
}

// begin accounts for a call that is about to be sent.
func (w *worker) begin() {
	w.inFlight++
	if w.quarantined {
		w.trialInFlight = true
	}
}

// finish accounts for the end of a call.
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

// quarantine takes the worker out of choice until its next probe.
func (w *worker) quarantine(now time.Duration) {
	w.quarantined = true
	w.quarantinePeriod = min(max(w.quarantinePeriod*2, quarantineFirst), quarantineMax)
	w.trialAt = now + w.quarantinePeriod
}
