package sched

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// RefusedError is the decision not to accept a job. It did not run.
type RefusedError struct {
	Lacks      []string      // what no worker has, or what the specification lacks
	Waiting    int           // jobs of the team that wait
	Wait       time.Duration // how long the job would be expected to wait
	RetryAfter time.Duration // when a repeat may be accepted; zero if it never will
}

// Error implements error.
func (e *RefusedError) Error() string {
	if len(e.Lacks) > 0 {
		return "refused: " + strings.Join(e.Lacks, "; ")
	}
	return fmt.Sprintf("refused: %d jobs of the team wait, %s expected; retry after %s",
		e.Waiting, e.Wait.Round(time.Second), e.RetryAfter.Round(time.Second))
}

const (
	tasksMost     = 100_000 // tasks of one job
	retryLeast    = time.Second
	retryMost     = 10 * time.Minute
	drainPart     = 10 // a repeat may come after one part in so many of the waiting work has started
	deadlineSlack = 1  // expected waits over so many times the deadline are refused
)

// CheckFit returns a *RefusedError that names what the job lacks if it can
// never run on the workers that are known, or nil. Without any worker nothing
// is known, and every well-formed job is let in.
func (s *Scheduler) CheckFit(spec work.Spec) error {
	lacks := malformed(spec)
	if len(lacks) == 0 && s.cell.Len() > 0 {
		lacks = s.lacks(spec)
	}
	if len(lacks) == 0 {
		lacks = s.overLimit(spec)
	}
	if len(lacks) > 0 {
		return &RefusedError{Lacks: lacks}
	}
	return nil
}

func malformed(spec work.Spec) []string {
	var lacks []string
	if spec.Kind != work.KindBatch && spec.Kind != work.KindGang {
		lacks = append(lacks, fmt.Sprintf("kind %q is no job: it must be %q or %q", spec.Kind, work.KindBatch, work.KindGang))
	}
	if spec.Tasks < 1 || spec.Tasks > tasksMost {
		lacks = append(lacks, fmt.Sprintf("%d tasks: there must be 1 to %d", spec.Tasks, tasksMost))
	}
	if spec.Need.Negative() {
		lacks = append(lacks, "a need is below zero")
	}
	if spec.Need.Slots != 0 || spec.Need.Connections != 0 {
		lacks = append(lacks, "jobs need no slots or connections")
	}
	if spec.Deadline < 0 || spec.Run < 0 || spec.Limit < 0 {
		lacks = append(lacks, "a time is below zero")
	}
	return lacks
}

// lacks names what keeps a job from ever fitting.
func (s *Scheduler) lacks(spec work.Spec) []string {
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
	return tooLarge(spec.Need, s.cell.Largest())
}

// overLimit names the upper limit if it keeps a job from ever starting.
func (s *Scheduler) overLimit(spec work.Spec) []string {
	units := resource.LimitUnits(spec.Need)
	if spec.Kind == work.KindGang {
		units *= int64(spec.Tasks)
	}
	if t, ok := s.teams[spec.Team]; ok && t.overLimit(units) {
		return []string{fmt.Sprintf("it needs %d units to start and the upper limit of the team is %d", units, t.limit)}
	}
	return nil
}

// tooLarge compares a need that fits no worker with the largest amounts.
func tooLarge(need, largest resource.Vector) []string {
	var lacks []string
	compare := func(needs, has int64, unit string) {
		if needs > has {
			lacks = append(lacks, fmt.Sprintf("a task needs %d %s and the largest worker has %d", needs, unit, has))
		}
	}
	compare(need.MilliCPU, largest.MilliCPU, "milli-cpu")
	compare(need.MemoryMiB, largest.MemoryMiB, "MiB")
	compare(need.Accelerators, largest.Accelerators, "accelerators")
	if len(lacks) == 0 {
		lacks = append(lacks, "no single worker has all that a task needs: "+need.String())
	}
	return lacks
}

// Admit returns a *RefusedError if the job can never run, if too much of its
// team waits, or if its deadline would pass while it waits; otherwise nil.
//
// Refusing a deadline that cannot be kept is what holds goodput under
// overload: work that would be dropped at its deadline never takes a place in
// the log and the order of waiting, and its caller learns at once that it did
// not run. Only the team's own waiting work counts, against the team's share,
// so that no other team's flood refuses its work.
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
		refusal.RetryAfter = s.expectedWait(t, false) / drainPart
	case spec.Deadline > 0 && wait > deadlineSlack*spec.Deadline && !s.fitsNow(spec):
		refusal.RetryAfter = wait - spec.Deadline
	default:
		return nil
	}
	refusal.RetryAfter = min(max(refusal.RetryAfter, retryLeast), retryMost)
	return refusal
}

// fitsNow reports whether a task of the job could start at once.
func (s *Scheduler) fitsNow(spec work.Spec) bool {
	return s.queue.Len() == 0 && s.asked.Pack(place.ComputeResources(spec.Need), place.None) != place.None
}
