package entry

import (
	"io"
	"log"

	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/problem"
)

// metrics are the counters of a host. Names carry their unit.
type metrics struct {
	scope         tally.Scope
	requests      tally.Counter
	submissions   tally.Counter
	answered      tally.Counter
	cut           tally.Counter
	unauthorized  tally.Counter
	forwardedIn   tally.Counter
	ringFull      tally.Counter
	appends       tally.Counter
	readFailed    tally.Counter
	peerFailed    tally.Counter
	controlFailed tally.Counter
	jobsEnded     tally.Counter
	latency       tally.Histogram
	step          tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	latency := tally.MustMakeExponentialDurationBuckets(latencyFirst, bucketFactor, latencyBuckets)
	step := tally.MustMakeExponentialDurationBuckets(stepFirst, bucketFactor, stepBuckets)
	return &metrics{
		scope:         scope,
		requests:      scope.Counter("requests_total"),
		submissions:   scope.Counter("submissions_total"),
		answered:      scope.Counter("answers_total"),
		cut:           scope.Counter("answers_cut_total"),
		unauthorized:  scope.Counter("unauthorized_total"),
		forwardedIn:   scope.Counter("forwarded_in_total"),
		ringFull:      scope.Counter("ring_full_total"),
		appends:       scope.Counter("log_appends_total"),
		readFailed:    scope.Counter("log_read_failures_total"),
		peerFailed:    scope.Counter("peer_failures_total"),
		controlFailed: scope.Counter("control_failures_total"),
		jobsEnded:     scope.Counter("jobs_ended_total"),
		latency:       scope.Histogram("request_seconds", latency),
		step:          scope.Histogram("engine_step_seconds", step),
	}
}

// Buckets of the histograms.
const (
	latencyFirst   = 500_000 // 0.5 ms in nanoseconds
	latencyBuckets = 18
	stepFirst      = 2_000 // 2 us in nanoseconds
	stepBuckets    = 16
	bucketFactor   = 2
)

func (m *metrics) refused(p *problem.Problem) {
	m.scope.Tagged(map[string]string{"type": string(p.Type), "outcome": p.Outcome.String()}).Counter("refusals_total").Inc(1)
}

func (m *metrics) noted(kind engine.NoteKind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("state_changes_total").Inc(1)
}

// discardLog drops the lines that net/http writes for each broken connection:
// they are counted, not logged.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
