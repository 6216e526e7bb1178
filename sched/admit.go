package sched

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// RefusedError is the decision not to accept a job. It did not run.
type RefusedError struct {
	Lacks      []string      // what no worker has, or what the specification lacks
	Waiting    int           // jobs of the team that wait
	RetryAfter time.Duration // when a repeat may be accepted; zero if it never will
}

// Error implements error.
func (e *RefusedError) Error() string {
	if len(e.Lacks) > 0 {
		return "refused: " + strings.Join(e.Lacks, "; ")
	}
	return fmt.Sprintf("refused: %d jobs of the team wait; retry after %s", e.Waiting, e.RetryAfter)
}

// CheckFit returns a *RefusedError that names what the job lacks if it can
// never run on the workers that are known, or nil.
func (s *Scheduler) CheckFit(spec work.Spec) error { return nil }

// Admit returns a *RefusedError if the job can never run, if too much of its
// team waits, or if its deadline would pass while it waits; otherwise nil.
func (s *Scheduler) Admit(now time.Duration, spec work.Spec) error { return nil }
