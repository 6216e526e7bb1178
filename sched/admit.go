package sched

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// RefusedError is the error of a job that admission control rejects. The job
// did not run.
type RefusedError struct {
	Reasons    []string      // why the job can never run; empty if it may run later
	Waiting    int           // waiting jobs of the team
	Wait       time.Duration // expected wait of the job
	RetryAfter time.Duration // delay before a retry may be accepted; zero if it never will be
}

// Error implements error.
func (e *RefusedError) Error() string {
	if len(e.Reasons) > 0 {
		return "refused: " + strings.Join(e.Reasons, "; ")
	}
	return fmt.Sprintf("refused: %d jobs of the team wait, %s expected; retry after %s",
		e.Waiting, e.Wait.Round(time.Second), e.RetryAfter.Round(time.Second))
}

const (
	maxTasks       = 100_000 // per job
	minRetryAfter  = time.Second
	maxRetryAfter  = 10 * time.Minute
	backlogDivisor = 10 // a retry is suggested once 1/10 of the backlog is expected to have started
	deadlineFactor = 1  // a job is refused if its expected wait is over this multiple of its deadline
)

// CheckFit returns a *RefusedError with the reasons if the job is malformed or
// can never run on the known workers or within its team's upper limit, and nil
// otherwise. While no worker is known, worker sizes are not checked.
func (s *Scheduler) CheckFit(spec work.Spec) error {
	problems := specProblems(spec)
	if len(problems) == 0 && s.cell.Len() > 0 {
		problems = s.capacityProblems(spec)
	}
	if len(problems) == 0 {
		problems = s.limitProblems(spec)
	}
	if len(problems) > 0 {
		return &RefusedError{Reasons: problems}
	}
	return nil
}

// specProblems returns the faults of a specification.
func specProblems(spec work.Spec) []string {
	var problems []string
	if spec.Kind != work.KindBatch && spec.Kind != work.KindGang {
		problems = append(problems, fmt.Sprintf("kind %q is no job: it must be %q or %q", spec.Kind, work.KindBatch, work.KindGang))
	}
	if spec.Tasks < 1 || spec.Tasks > maxTasks {
		problems = append(problems, fmt.Sprintf("%d tasks: there must be 1 to %d", spec.Tasks, maxTasks))
	}
	if spec.Need.Negative() {
		problems = append(problems, "a need is below zero")
	}
	if spec.Need.Slots != 0 || spec.Need.Connections != 0 {
		problems = append(problems, "jobs need no slots or connections")
	}
	if spec.Deadline < 0 || spec.Run < 0 || spec.Limit < 0 {
		problems = append(problems, "a time is below zero")
	}
	return problems
}

// capacityProblems returns why the job can never fit on the known workers, or
// nil.
func (s *Scheduler) capacityProblems(spec work.Spec) []string {
	tasks := int64(1)
	if spec.Kind == work.KindGang {
		tasks = int64(spec.Tasks)
	}
	slots := s.cell.TaskCapacity(spec.Need, tasks)
	if slots >= tasks {
		return nil
	}
	if slots > 0 {
		return []string{fmt.Sprintf("%d tasks must start together and the workers hold %d", tasks, slots)}
	}
	return sizeProblems(spec.Need, s.cell.Largest())
}

// limitProblems returns a reason if the job needs more units to start than the
// upper limit of its team, and nil otherwise.
func (s *Scheduler) limitProblems(spec work.Spec) []string {
	units := resource.LimitUnits(spec.Need)
	if spec.Kind == work.KindGang {
		units *= int64(spec.Tasks)
	}
	if t, ok := s.teams[spec.Team]; ok && t.overLimit(units) {
		return []string{fmt.Sprintf("it needs %d units to start and the upper limit of the team is %d", units, t.limit)}
	}
	return nil
}

// sizeProblems returns the resources of which the need is over the largest
// amount of any worker. The need must fit no worker.
func sizeProblems(need, largest resource.Vector) []string {
	var problems []string
	compare := func(needs, has int64, unit string) {
		if needs > has {
			problems = append(problems, fmt.Sprintf("a task needs %d %s and the largest worker has %d", needs, unit, has))
		}
	}
	compare(need.MilliCPU, largest.MilliCPU, "milli-cpu")
	compare(need.MemoryMiB, largest.MemoryMiB, "MiB")
	compare(need.Accelerators, largest.Accelerators, "accelerators")
	if len(problems) == 0 {
		problems = append(problems, "no single worker has all that a task needs: "+need.String())
	}
	return problems
}

// Admit returns a *RefusedError if the job can never run, if the backlog of its
// team is full (Options.MaxWaiting), or if its deadline would pass while it
// waits. It returns nil otherwise.
//
// Refusing a job whose deadline cannot be met keeps goodput up under overload:
// work that would be dropped at its deadline takes no space in the log and the
// backlog, and the caller knows at once that it did not run. Only the team's own
// backlog counts, against the team's share, so a flood from another team does
// not cause refusals.
func (s *Scheduler) Admit(now time.Duration, spec work.Spec) error {
	if err := s.CheckFit(spec); err != nil {
		return err
	}
	s.now = max(s.now, now)
	t := s.team(spec.Team)
	waiting := t.Waiting()
	pressing := spec.Deadline > 0 || spec.Urgent
	wait := s.expectedWait(t, pressing)
	refusal := &RefusedError{Waiting: waiting, Wait: wait}
	switch {
	case waiting >= s.opts.MaxWaiting:
		refusal.RetryAfter = s.expectedWait(t, false) / backlogDivisor
	case spec.Deadline > 0 && wait > deadlineFactor*spec.Deadline && !s.fitsNow(spec):
		refusal.RetryAfter = wait - spec.Deadline
	default:
		return nil
	}
	refusal.RetryAfter = min(max(refusal.RetryAfter, minRetryAfter), maxRetryAfter)
	return refusal
}

// fitsNow reports whether a task of the job could start immediately.
func (s *Scheduler) fitsNow(spec work.Spec) bool {
	return s.queue.Len() == 0 && s.queryPlacer.Pack(place.ComputeResources(spec.Need), place.None) != place.None
}
