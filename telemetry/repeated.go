package telemetry

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Repeated tells of something that is tried again and again: every failure is counted,
// and a line is written when it begins to fail and when it succeeds again. It is not
// safe for concurrent use.
type Repeated struct {
	Name    string        // of the counter: Name + "_failures"
	What    string        // what is tried, in a line
	Log     *logrus.Entry // may be nil as long as nothing fails
	Metrics tally.Scope   // likewise

	failing bool
}

// Ended notes how a try ended and reports whether it succeeded.
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
