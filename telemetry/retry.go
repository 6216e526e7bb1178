package telemetry

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// RetryReporter reports the failures of an operation that is retried without end: it counts
// each failure, and logs a line when the operation begins to fail and when it succeeds again.
// It is not safe for concurrent use.
type RetryReporter struct {
	Metric    string        // the counter is Metric + "_failures"
	Operation string        // subject of the log lines, such as "reading the host list"
	Log       *logrus.Entry // may be nil as long as nothing fails
	Metrics   tally.Scope   // likewise

	failing bool
}

// Observe records the result of a try and reports whether it succeeded.
func (r *RetryReporter) Observe(err error) bool {
	if err != nil {
		r.Metrics.Counter(r.Metric + "_failures").Inc(1)
	}
	switch {
	case err != nil && !r.failing:
		r.Log.WithError(err).Warn(r.Operation + " fails")
	case err == nil && r.failing:
		r.Log.Info(r.Operation + " succeeds again")
	}
	r.failing = err != nil
	return err == nil
}
