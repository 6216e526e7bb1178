package telemetry

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Repeated reports the failures of an operation that is retried without end: it counts each
// failure, and logs a line when the operation begins to fail and when it succeeds again. It is
// not safe for concurrent use.
type Repeated struct {
	Name    string        // the counter is Name + "_failures"
	What    string        // operation, as the subject of the log lines
	Log     *logrus.Entry // may be nil as long as nothing fails
	Metrics tally.Scope   // likewise

	failing bool
}

// Ended records the result of a try and reports whether it succeeded.
func (r *Repeated) Ended(err error) bool {
	if err != nil {
		r.Metrics.Counter(r.Name + "_failures").Inc(1)
	}
	switch {
	case err != nil && !r.failing:
		r.Log.WithError(err).Warn(r.What + " fails")
	case err == nil && r.failing:
		r.Log.Info(r.What + " succeeds again")
	}
	r.failing = err != nil
	return err == nil
}
