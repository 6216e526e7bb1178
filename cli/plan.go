package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
)

const (
	planSuffix = ".plan" // of plan files
	planMode   = 0o600   // of plan files
)

// planned is what plan prints as JSON.
type planned struct {
	Plan fleet.Plan `json:"plan"`
	File string     `json:"file"`
	// Key is the new key, if the plan gives one. It is shown here and nowhere
	// else.
	Key string `json:"key,omitempty"`
}

func newPlan(env Env) *command {
	var flags intentFlags
	var out string
	return &command{
		env: env, name: "plan", synopsis: "Show what a change would do; nothing happens before confirm",
		example: "  fireflyfold plan --file deploy/wanted/rosenau.ini\n" +
			"  fireflyfold plan --team grants --limit 200 --share 4\n" +
			"  fireflyfold plan --give-key grants\n" +
			"  fireflyfold plan --rotate-key 3fa94c01b2d7 --overlap 24h\n" +
			"  fireflyfold plan --drain upstream/oberbayern-1-w07 --reason \"new memory\"",
		about: "The plan is written to PLAN.plan in this directory and can be confirmed from any machine\n" +
			"that has the file. A key is drawn here, printed once, and valid after confirm; only its hash is sent.",
		flags: func(f *flag.FlagSet) {
			flags.set(f)
			f.StringVar(&out, "out", "", "file to write the plan to (default PLAN.plan)")
		},
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) != 0 {
				return &UsageError{Detail: "plan takes flags only, not " + args[0]}
			}
			intent, key, err := flags.intent(c.env.Random)
			if err != nil {
				return err
			}
			return c.plan(ctx, intent, key, out)
		},
	}
}

func newDrain(env Env) *command {
	var reason string
	var undo bool
	return &command{
		env: env, name: "drain", args: "worker|upstream|host NAME",
		synopsis: "Plan that a worker, an upstream or an entry host takes nothing new",
		example:  "  fireflyfold drain --reason \"new memory\" worker oberbayern-1-w07\n  fireflyfold drain --undo worker oberbayern-1-w07",
		about:    "This makes a plan; nothing happens before confirm. What is in flight is not cut off.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&reason, "reason", "", "shown to other operators")
			f.BoolVar(&undo, "undo", false, "take the mark away")
		},
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) != 2 {
				return &UsageError{Detail: "give worker, upstream or host, then its name"}
			}
			mark := fleet.WantMark{
				Target: fleet.Ref{Kind: fleet.ObjectKind(args[0]), ID: args[1]}, Mode: fleet.ModeDrain, Reason: reason,
			}
			if undo {
				mark.Mode = fleet.ModeNone
			}
			return c.plan(ctx, fleet.Intent{Marks: []fleet.WantMark{mark}}, "", "")
		},
	}
}

// plan asks for a plan, writes it to a file and prints it.
func (c *command) plan(ctx context.Context, intent fleet.Intent, key, out string) error {
	answer := planned{Key: key}
	req := call{method: http.MethodPost, path: admin.PathPlan, body: intent}
	if err := c.call(ctx, req, &answer.Plan); err != nil {
		return err
	}
	if !ident.ValidName(string(answer.Plan.ID)) {
		// The identifier becomes a file's name; one with a slash in it could
		// name a file elsewhere.
		return &UsageError{Detail: "the host answered with something that is no plan; is this an entry host?"}
	}
	answer.File = or(out, string(answer.Plan.ID)+planSuffix)
	if err := writePlan(answer.File, answer.Plan); err != nil {
		return errors.Wrap(err, "the plan was made, but could not be kept")
	}
	return c.print(answer, func(w io.Writer) { printPlan(w, answer) })
}

func writePlan(path string, plan fleet.Plan) error {
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	if err := os.WriteFile(path, append(data, '\n'), planMode); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

// readPlan reads a plan by the path of its file or by its identifier.
func readPlan(name string) (fleet.Plan, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) && !strings.HasSuffix(name, planSuffix) {
		name += planSuffix
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return fleet.Plan{}, &FileError{Path: name, Cause: err}
	}
	var plan fleet.Plan
	if err := json.Unmarshal(data, &plan); err != nil {
		return fleet.Plan{}, &FileError{Path: name, Cause: err}
	}
	return plan, nil
}

func printPlan(w io.Writer, answer planned) {
	plan := answer.Plan
	fmt.Fprintf(w, "Plan %s, made from offset %d. Nothing has changed yet.\n\nWhat changes\n", plan.ID, plan.Base)
	for _, line := range plan.Lines {
		fmt.Fprintf(w, "  %s: %s -> %s\n", line.Object, line.Before, line.After)
	}
	if len(plan.Touches) > 0 {
		fmt.Fprintln(w, "\nWhom it touches")
	}
	for _, touch := range plan.Touches {
		fmt.Fprintf(w, "  %s: %s\n", touch.Object, touchWords(touch.Touched))
	}
	printList(w, "What cannot be undone", plan.Irreversible)
	printList(w, "Warnings", plan.Warnings)
	if answer.Key != "" {
		fmt.Fprintf(w, "\nThe new key, shown once, valid after confirm:\n  %s\n", answer.Key)
	}
	fmt.Fprintf(w, "\nTo carry it out:  fireflyfold confirm %s\n", answer.File)
}

func printList(w io.Writer, title string, items []string) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\n", title)
	for _, item := range items {
		fmt.Fprintf(w, "  %s\n", item)
	}
}

// touchWords says in words what work is touched.
func touchWords(t fleet.Touched) string {
	var parts []string
	add := func(n int64, what string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(int64(t.Running), "running")
	add(int64(t.Waiting), "waiting")
	add(int64(t.NeverRun), "that could no longer run")
	add(t.Units, "units in use")
	text := strings.Join(parts, ", ")
	if len(t.Examples) > 0 {
		text += " (such as " + strings.Join(t.Examples, ", ") + ")"
	}
	if t.Partial {
		text += "; perhaps more, not every zone could be asked"
	}
	return text
}

func newConfirm(env Env) *command {
	return &command{
		env: env, name: "confirm", args: "PLAN", synopsis: "Carry out a plan",
		example: "  fireflyfold confirm 5b1c9e0a77d2f3e4a1b0",
		about: "PLAN is a plan's identifier, if its file is in this directory, or the path of its file.\n" +
			"If something that the plan touches has changed since, it is refused and says what changed.\n" +
			"Confirming a plan again is safe: it takes effect once.",
		run: func(ctx context.Context, c *command, args []string) error {
			name, err := oneArg(args, "plan")
			if err != nil {
				return err
			}
			plan, err := readPlan(name)
			if err != nil {
				return errors.Wrapf(err, "plan %s", name)
			}
			var answer admin.Confirmation
			if err := c.call(ctx, call{method: http.MethodPost, path: admin.PathConfirm, body: plan}, &answer); err != nil {
				if judge(err).exit == ExitUnknown {
					fmt.Fprintln(c.env.Stderr, "fireflyfold: confirm the same plan again; it takes effect once")
				}
				return err
			}
			return c.print(answer, func(w io.Writer) {
				if answer.Already {
					fmt.Fprintf(w, "Plan %s was in force already, from offset %d.\n", answer.Plan, answer.Offset)
					return
				}
				fmt.Fprintf(w, "Plan %s is in force from offset %d; all hosts follow within seconds.\n", answer.Plan, answer.Offset)
			})
		},
	}
}
