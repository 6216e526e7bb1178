package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflyfold/fireflyfold/standin"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	lowestMicros  = 1
	highestMicros = int64(20 * time.Minute / time.Microsecond)
	digits        = 3
)

// Latency is a distribution of times in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// latencyOf reads a histogram.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	const micros = 1000 // in a millisecond
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / micros }
	return Latency{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / micros}
}

// KindReport is what became of the operations of one kind.
type KindReport struct {
	Offered   int               `json:"offered"`
	Unsent    int               `json:"unsent,omitempty"` // over the bound on operations at once
	Ran       int               `json:"ran"`              // whole answer, or job ended well, in time
	Late      int               `json:"late,omitempty"`   // the same after the deadline
	Failed    map[string]int    `json:"failed,omitempty"` // ran and did not succeed
	NotRun    map[string]int    `json:"not_run,omitempty"`
	Unknown   map[string]int    `json:"unknown,omitempty"`
	Wrong     map[string]int    `json:"wrong,omitempty"`    // answers that must never come
	Examples  map[string]string `json:"examples,omitempty"` // by reason: the detail of the first
	Latency   Latency           `json:"latency"`            // until the whole answer, from when it was due; for jobs without their run time
	Accepted  *Latency          `json:"accepted,omitempty"` // of jobs: until the submission was accepted
	PerSecond float64           `json:"goodput_per_second"`
}

// Report is the result of a run.
type Report struct {
	Mix      string               `json:"mix"`
	Seed     uint64               `json:"seed"`
	Hosts    int                  `json:"hosts"`
	Rate     float64              `json:"rate_per_second"` // wanted
	Seconds  float64              `json:"seconds"`         // of arrivals
	Goodput  float64              `json:"goodput_per_second"`
	Lag      Latency              `json:"generator_lag"` // how late operations were sent
	Kinds    map[Kind]*KindReport `json:"kinds"`
	Audit    *standin.Counts      `json:"audit,omitempty"`
	AuditErr string               `json:"audit_error,omitempty"`
}

// Broken returns how many answers came that must never come.
func (r *Report) Broken() int {
	sum := 0
	for _, kind := range r.Kinds {
		sum += total(kind.Wrong)
	}
	if r.Audit != nil {
		sum += r.Audit.Doubled + r.Audit.Overlapped + r.Audit.OverCapacity
	}
	return sum
}

// total adds up counts.
func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// result is how one operation ended.
type result struct {
	class  class
	reason string        // for every class but classRan
	detail string        // an example of the reason; may be empty
	took   time.Duration // from when it was due
	within bool          // ended before the last arrival
}

// class is the class of a result.
type class int

// The classes of results.
const (
	classRan class = iota + 1
	classFailed
	classNotRun
	classUnknown
	classWrong
)

// recorder collects the results of a run.
type recorder struct {
	mu       sync.Mutex
	kinds    map[Kind]*KindReport
	latency  map[Kind]*hdrhistogram.Histogram
	accepted map[Kind]*hdrhistogram.Histogram
	within   map[Kind]int // ran before the last arrival
	lag      *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func newRecorder() *recorder {
	r := &recorder{
		kinds:    make(map[Kind]*KindReport),
		latency:  make(map[Kind]*hdrhistogram.Histogram),
		accepted: make(map[Kind]*hdrhistogram.Histogram),
		within:   make(map[Kind]int),
		lag:      newHistogram(),
	}
	for _, kind := range Kinds {
		r.kinds[kind] = &KindReport{Failed: map[string]int{}, NotRun: map[string]int{}, Unknown: map[string]int{}, Wrong: map[string]int{}, Examples: map[string]string{}}
		r.latency[kind] = newHistogram()
		r.accepted[kind] = newHistogram()
	}
	return r
}

// record adds a time; times beyond the range count as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValue(micros) // cannot be out of range
}

// offered counts an arrival and how late it was sent.
func (r *recorder) offered(kind Kind, sent bool, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind].Offered++
	if !sent {
		r.kinds[kind].Unsent++
		return
	}
	record(r.lag, late)
}

// acceptedAfter counts the acceptance of a job.
func (r *recorder) acceptedAfter(kind Kind, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.accepted[kind], took)
}

// done counts a result.
func (r *recorder) done(kind Kind, res result, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if _, known := k.Examples[res.reason]; !known && res.detail != "" {
		k.Examples[res.reason] = res.detail
	}
	switch res.class {
	case classRan:
		if res.took > deadline {
			k.Late++
		} else {
			k.Ran++
			r.countWithin(kind, res)
		}
		record(r.latency[kind], res.took)
	case classFailed:
		k.Failed[res.reason]++
	case classNotRun:
		k.NotRun[res.reason]++
	case classUnknown:
		k.Unknown[res.reason]++
	case classWrong:
		k.Wrong[res.reason]++
	}
}

// countWithin counts what ran while work arrived. What is answered after the
// last arrival comes from the queue and says nothing of what is sustained.
func (r *recorder) countWithin(kind Kind, res result) {
	if res.within {
		r.within[kind]++
	}
}

// report sums up.
func (r *recorder) report(opts Options) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Mix: opts.Mix.Name, Seed: opts.Seed, Hosts: len(opts.Hosts), Rate: opts.Rate, Seconds: opts.Time.Seconds(),
		Lag: latencyOf(r.lag), Kinds: make(map[Kind]*KindReport),
	}
	for _, kind := range Kinds {
		k := r.kinds[kind]
		if k.Offered == 0 {
			continue
		}
		k.Latency = latencyOf(r.latency[kind])
		if kind.durable() {
			accepted := latencyOf(r.accepted[kind])
			k.Accepted = &accepted
		}
		k.PerSecond = float64(r.within[kind]) / opts.Time.Seconds()
		out.Goodput += k.PerSecond
		out.Kinds[kind] = k
	}
	return out
}
