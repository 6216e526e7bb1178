package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/work"
)

// Exit is the exit code of a command.
type Exit = subcommands.ExitStatus

// The exit codes.
const (
	ExitOK           Exit = 0 // done
	ExitFailed       Exit = 1 // the work ran and did not succeed
	ExitUsage        Exit = 2 // wrong flags, or a file with bad fields; nothing was sent
	ExitNotRun       Exit = 3 // refused: nothing ran and nothing changed
	ExitUnknown      Exit = 4 // it may have run or changed; ask before repeating
	ExitUnreachable  Exit = 5 // no host could be reached; nothing ran and nothing changed
	ExitUnauthorized Exit = 6 // the key or token is missing or not valid
	ExitStale        Exit = 7 // the plan is stale; make a new one
	ExitPending      Exit = 8 // the job had not ended when the wait was over
)

// exitTable is shown in the help of every command.
const exitTable = `Exit codes:
  0 done                        5 no host reachable, nothing was sent
  1 ran, but did not succeed    6 key or token missing or not valid
  2 wrong flags or file         7 the plan is stale
  3 refused, nothing changed    8 not ended when --wait was over
  4 unknown: it may have run or changed
`

// UsageError reports wrong flags, arguments or files.
type UsageError struct {
	Detail string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Detail }

// UnreachableError reports that no host could be reached, or that a question
// that changes nothing got no answer.
type UnreachableError struct {
	Host  string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("host %s: %v", e.Host, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnansweredError reports a call that was sent, can change something, and got
// no whole answer.
type UnansweredError struct {
	Host  string
	Cause error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("host %s gave no whole answer: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// JobFailedError reports a job that ended without success.
type JobFailedError struct {
	Job     string
	Outcome string
	Reason  string
}

// Error implements error.
func (e *JobFailedError) Error() string {
	return fmt.Sprintf("job %s ended as %q: %s", e.Job, e.Outcome, e.Reason)
}

// PendingError reports a job that had not ended when the wait was over.
type PendingError struct {
	Job   string
	State string
}

// Error implements error.
func (e *PendingError) Error() string { return fmt.Sprintf("job %s is still %s", e.Job, e.State) }

// FileError reports a local file that cannot be read or written.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// verdict is how a command ended: its exit code, and what to do next.
type verdict struct {
	exit Exit
	next string
}

// judge finds the exit code of an error and what to do next.
func judge(err error) verdict {
	var (
		usage       *UsageError
		file        *FileError
		invalid     *settings.InvalidError
		unreadable  *settings.UnreadableError
		unreachable *UnreachableError
		unanswered  *UnansweredError
		failed      *JobFailedError
		pending     *PendingError
		told        *problem.Problem
	)
	switch {
	case err == nil:
		return verdict{ExitOK, ""}
	case errors.As(err, &usage):
		return verdict{ExitUsage, "see the command's help: fireflyfold help COMMAND"}
	case errors.As(err, &invalid):
		return verdict{ExitUsage, "correct the fields named above and run the command again"}
	case errors.As(err, &unreadable), errors.As(err, &file):
		return verdict{ExitUsage, "check the path and that the file is whole"}
	case errors.As(err, &unreachable):
		return verdict{ExitUnreachable, "nothing changed; check --host, or name another entry host (several with commas)"}
	case errors.As(err, &unanswered):
		return verdict{ExitUnknown, "it may have taken effect; ask with status or history before you repeat it"}
	case errors.As(err, &failed):
		return verdict{exitOfOutcome(failed.Outcome), "read why with: fireflyfold explain " + failed.Job}
	case errors.As(err, &pending):
		return verdict{ExitPending, "wait again with: fireflyfold status --wait 30s " + pending.Job}
	case errors.As(err, &told):
		return judgeProblem(told)
	}
	return verdict{ExitUnknown, "read the message above; if it does not help, look at: fireflyfold status"}
}

// exitOfOutcome maps the outcome of a job that did not succeed.
func exitOfOutcome(outcome string) Exit {
	switch outcome {
	case work.OutcomeRan.String():
		return ExitFailed
	case work.OutcomeNotRun.String():
		return ExitNotRun
	}
	return ExitUnknown
}

// judgeProblem finds the exit code of a refusal.
func judgeProblem(p *problem.Problem) verdict {
	switch {
	case p.Type == problem.TypeUnauthorized:
		return verdict{ExitUnauthorized, "give a valid key with --key, or in FIREFLYFOLD_KEY; operators give their token"}
	case p.Type == problem.TypeStalePlan:
		return verdict{ExitStale, "look at what changed, then make the plan again"}
	case p.Outcome == work.OutcomeUnknown:
		return verdict{ExitUnknown, "it may have taken effect; ask before you repeat it"}
	case p.RetryAfter > 0:
		return verdict{ExitNotRun, fmt.Sprintf("nothing ran; try again after %d s", p.RetryAfter)}
	case p.Type == problem.TypeNoFit:
		return verdict{ExitNotRun, "ask for less: fireflyfold workers shows what there is"}
	}
	return verdict{ExitNotRun, "nothing ran and nothing changed"}
}

// report prints an error and what to do next, and returns the exit code.
func report(w io.Writer, err error) Exit {
	v := judge(err)
	if err == nil {
		return v.exit
	}
	fmt.Fprintf(w, "fireflyfold: %v\n", err)
	var told *problem.Problem
	if errors.As(err, &told) {
		for _, field := range told.Fields {
			fmt.Fprintf(w, "  %s = %q: allowed is %s\n", field.Name, field.Value, field.Allowed)
		}
	}
	fmt.Fprintf(w, "  next: %s\n", v.next)
	return v.exit
}
