package cli

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/work"
)

// Paths and headers of the callers' interface.
const (
	pathJobs          = "/v1/jobs"
	headerIdempotency = "Idempotency-Key"
	teamKeyPrefix     = "ffk_"
)

// idempotencyBytes is the randomness of an idempotency key that is drawn for a
// submission without one, in bytes.
const idempotencyBytes = 16

// drawTries is how many idempotency keys are tried at most for a submission
// without one, while the zones that they belong to cannot be reached.
const drawTries = 8

// jobNeed is what one task needs.
type jobNeed struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// submission is the body of a submitted job. Durations are Go durations.
type submission struct {
	Kind          work.Kind `json:"kind"`
	Name          string    `json:"name,omitempty"`
	Need          jobNeed   `json:"need"`
	Tasks         int       `json:"tasks"`
	Run           string    `json:"run,omitempty"`
	Limit         string    `json:"limit,omitempty"`
	Deadline      string    `json:"deadline,omitempty"`
	Urgent        bool      `json:"urgent,omitempty"`
	Displaceable  bool      `json:"displaceable,omitempty"`
	NonIdempotent bool      `json:"non_idempotent,omitempty"`
	MaxAttempts   int       `json:"max_attempts,omitempty"`
	Payload       string    `json:"payload,omitempty"`
}

// jobAnswer is how a host describes a job.
type jobAnswer struct {
	Job         string `json:"job"`
	StatusURL   string `json:"status_url"`
	Kind        string `json:"kind,omitempty"`
	Name        string `json:"name,omitempty"`
	State       string `json:"state,omitempty"`
	Outcome     string `json:"outcome,omitempty"`
	Failed      bool   `json:"failed,omitempty"`
	Reason      string `json:"reason,omitempty"`
	Explanation string `json:"explanation,omitempty"`
}

// failure returns a *JobFailedError if the job ended without success.
func (a jobAnswer) failure() error {
	if a.Outcome == "" || (a.Outcome == work.OutcomeRan.String() && !a.Failed) {
		return nil
	}
	return &JobFailedError{Job: a.Job, Outcome: a.Outcome, Reason: a.Reason}
}

func (a jobAnswer) print(w io.Writer) {
	fmt.Fprintf(w, "job      %s\n", a.Job)
	for _, line := range [][2]string{{"name", a.Name}, {"kind", a.Kind}, {"state", a.State}, {"outcome", a.Outcome}, {"reason", a.Reason}} {
		if line[1] != "" {
			fmt.Fprintf(w, "%-8s %s\n", line[0], line[1])
		}
	}
	if a.Explanation != "" {
		fmt.Fprintln(w, strings.TrimRight(a.Explanation, "\n"))
	}
}

func newSubmit(env Env) *command {
	var (
		job    submission
		kind   string
		memory string
		key    string
		wait   time.Duration
	)
	return &command{
		env: env, name: "submit", synopsis: "Hand in a batch job, or a job whose tasks start together",
		example: "  fireflyfold submit --name month-end --tasks 20 --milli-cpu 500 --memory 256MiB --run 30s --wait 2m",
		about: "Every submission carries an idempotency key; one is drawn if none is given. After exit code 4,\n" +
			"submit again with the same key: the job is then accepted once, however often it is sent.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&kind, "kind", string(work.KindBatch), "batch, or gang for tasks that start together")
			f.StringVar(&job.Name, "name", "", "name for people")
			f.IntVar(&job.Tasks, "tasks", 1, "number of tasks")
			f.Int64Var(&job.Need.MilliCPU, "milli-cpu", 1000, "thousandths of a processor for each task")
			f.StringVar(&memory, "memory", "256MiB", "memory for each task, with its unit")
			f.Int64Var(&job.Need.Accelerators, "accelerators", 0, "accelerators for each task")
			f.StringVar(&job.Run, "run", "", "expected run time of a task, such as 30s")
			f.StringVar(&job.Limit, "limit", "", "a task is stopped after this time")
			f.StringVar(&job.Deadline, "deadline", "", "not started later than this after now")
			f.BoolVar(&job.Urgent, "urgent", false, "may displace displaceable tasks")
			f.BoolVar(&job.Displaceable, "displaceable", false, "may be checkpointed and moved")
			f.BoolVar(&job.NonIdempotent, "non-idempotent", false, "never run a second time, even if it is not known whether it ran")
			f.IntVar(&job.MaxAttempts, "max-attempts", 0, "tries of each task (default: the host's)")
			f.StringVar(&job.Payload, "payload", "", "text handed to the worker")
			f.StringVar(&key, "idempotency-key", "", "name of this submission; the same name is accepted once")
			f.DurationVar(&wait, "wait", 0, "wait this long for the outcome")
		},
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) != 0 {
				return &UsageError{Detail: "submit takes flags only, not " + args[0]}
			}
			size, ok := settings.ParseMiB(memory)
			if !ok {
				return &UsageError{Detail: "--memory " + memory + ": whole MiB, such as 256MiB or 4GiB"}
			}
			job.Need.MemoryMiB = size
			job.Kind = work.Kind(kind)
			return c.submit(ctx, job, key, wait)
		},
	}
}

// submit hands in a job and waits for its outcome if that is wanted.
func (c *command) submit(ctx context.Context, job submission, key string, wait time.Duration) error {
	answer, key, err := c.handIn(ctx, job, key)
	if err != nil {
		if judge(err).exit == ExitUnknown {
			fmt.Fprintf(c.env.Stderr, "fireflyfold: to submit the same job again safely, add: --idempotency-key %s\n", key)
		}
		return err
	}
	if wait > 0 {
		return c.job(ctx, answer.Job, wait)
	}
	return c.print(answer, answer.print)
}

// handIn sends a submission and returns the idempotency key that it carried.
// The key decides which zone the job belongs to. If that zone cannot be
// reached the submission truly did not run, so a key that was only drawn here
// is replaced by another, which belongs to another zone as likely as not.
func (c *command) handIn(ctx context.Context, job submission, key string) (jobAnswer, string, error) {
	tries := 1
	if key == "" {
		tries = drawTries
	}
	var answer jobAnswer
	var err error
	for range tries {
		sent := key
		if sent == "" {
			if sent, err = c.drawKey(); err != nil {
				return jobAnswer{}, "", err
			}
		}
		req := call{method: http.MethodPost, path: pathJobs, body: job, headers: map[string]string{headerIdempotency: sent}}
		err = c.call(ctx, req, &answer)
		var told *problem.Problem
		elsewhere := errors.As(err, &told) && told.Type == problem.TypeNotReady && told.Outcome == work.OutcomeNotRun
		if !elsewhere {
			return answer, sent, err
		}
	}
	return answer, key, err
}

// drawKey draws an idempotency key.
func (c *command) drawKey() (string, error) {
	drawn := make([]byte, idempotencyBytes)
	if _, err := io.ReadFull(c.env.Random, drawn); err != nil {
		return "", &FileError{Path: "source of randomness", Cause: err}
	}
	return hex.EncodeToString(drawn), nil
}

// job shows how a job stands.
func (c *command) job(ctx context.Context, id string, wait time.Duration) error {
	path := pathJobs + "/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	var answer jobAnswer
	if err := c.call(ctx, call{method: http.MethodGet, path: path, extra: wait}, &answer); err != nil {
		return err
	}
	if err := c.print(answer, answer.print); err != nil {
		return err
	}
	if wait > 0 && answer.Outcome == "" {
		return &PendingError{Job: answer.Job, State: answer.State}
	}
	return answer.failure()
}

func newCancel(env Env) *command {
	return &command{
		env: env, name: "cancel", args: "JOB", synopsis: "Cancel a job; its tasks that run are stopped",
		example: "  fireflyfold cancel oberbayern-1.oberbayern-1-h1.3f2k.1c",
		about:   "Cancelling a job that has ended changes nothing; repeating it is safe.",
		run: func(ctx context.Context, c *command, args []string) error {
			id, err := oneArg(args, "job")
			if err != nil {
				return err
			}
			var answer jobAnswer
			if err := c.call(ctx, call{method: http.MethodDelete, path: pathJobs + "/" + url.PathEscape(id)}, &answer); err != nil {
				return err
			}
			return c.print(answer, answer.print)
		},
	}
}

func newExplain(env Env) *command {
	return &command{
		env: env, name: "explain", args: "JOB", synopsis: "Say why a job waits, where it runs or how it ended",
		example: "  fireflyfold explain oberbayern-1.oberbayern-1-h1.3f2k.1c",
		about:   "With a team's key it explains the team's own jobs, with an operator's token every job.",
		run: func(ctx context.Context, c *command, args []string) error {
			id, err := oneArg(args, "job")
			if err != nil {
				return err
			}
			if strings.HasPrefix(c.secret(), teamKeyPrefix) {
				var answer jobAnswer
				path := pathJobs + "/" + url.PathEscape(id) + "/explain"
				if err := c.call(ctx, call{method: http.MethodGet, path: path}, &answer); err != nil {
					return err
				}
				return c.print(answer, answer.print)
			}
			var answer explanation
			if err := c.call(ctx, call{method: http.MethodGet, path: admin.PathExplain + "/" + url.PathEscape(id)}, &answer); err != nil {
				return err
			}
			return c.print(answer, func(w io.Writer) { printExplanation(w, answer) })
		},
	}
}

// explanation is an admin.Explanation with its identifiers as text: those of hosts on the users'
// platform have another form.
type explanation struct {
	Job     string        `json:"job"`
	State   string        `json:"state"`
	Team    string        `json:"team"`
	Kind    string        `json:"kind"`
	Waited  admin.Seconds `json:"waited_seconds,omitzero"`
	Outcome string        `json:"outcome,omitempty"`
	Words   []string      `json:"words"`
}

func printExplanation(w io.Writer, e explanation) {
	fmt.Fprintf(w, "job %s of team %s (%s): %s", e.Job, e.Team, e.Kind, e.State)
	if e.Outcome != "" {
		fmt.Fprintf(w, ", outcome %s", e.Outcome)
	}
	if e.Waited > 0 {
		fmt.Fprintf(w, ", waited %s", short(e.Waited))
	}
	fmt.Fprintln(w)
	for _, words := range e.Words {
		for line := range strings.Lines(words) {
			fmt.Fprintf(w, "  %s\n", strings.TrimRight(line, "\n"))
		}
	}
}
