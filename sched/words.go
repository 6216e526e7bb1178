package sched

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// Words returns the explanation as text for an operator.
func (e Explanation) Words() string {
	if e.State == StateUnknown {
		return fmt.Sprintf("job %s is not known here: it ended, or belongs to another zone", e.Job)
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("job %s of team %s (%s, %d tasks, each needs %s) is %s; accepted %s ago",
		e.Job, e.Team, e.Kind, e.Tasks, e.Need, e.State, round(e.Waited))
	line("tasks: %d done, %d running, %d waiting, %d waiting out a back-off; %d attempts so far",
		e.Done, e.running(), e.Waiting, e.Delayed, e.Attempts)
	if e.LastFailure != "" {
		line("last failure: %s", e.LastFailure)
	}
	for _, p := range e.Placements {
		line("%s", p.text())
	}
	if e.Waiting > 0 {
		e.writeWait(line)
	}
	return b.String()
}

func (e Explanation) running() int {
	return max(e.Tasks-e.Done-e.Waiting-e.Delayed, 0)
}

func (e Explanation) writeWait(line func(string, ...any)) {
	line("order: %d jobs of the team come earlier; the team uses %.1f%% of the zone and may expect %.1f%% while it is full",
		e.Ahead, percent*e.Share, percent*e.Entitled)
	line("limit: needs %d units to start; the team uses %d here", e.LimitUnits, e.UnitsInUse)
	line("workers: %d of %d could take a task now", e.Feasible, e.Workers)
	for _, r := range e.Rejections {
		line("  %d turned away: %s", r.Workers, r.Filter)
	}
	if e.Held > 0 {
		line("%d workers are held for it", e.Held)
	}
	line("%s", e.waitReason())
	line("%s", e.predictedStart())
}

const percent = 100

// waitReason returns the text on why the job does not start now.
func (e Explanation) waitReason() string {
	switch {
	case e.LimitBlocks:
		return "it waits for units of the team's upper limit"
	case e.Feasible == 0:
		return "it waits for room: no worker can take a task of this size now"
	case e.Kind == work.KindGang:
		return "it waits until all its tasks fit at the same time"
	default:
		return "it starts with the next decision"
	}
}

func (e Explanation) predictedStart() string {
	switch {
	case !e.Predicted:
		return "predicted start: not known; the workers that are here now will not have room for it"
	case e.Accuracy.Samples == 0:
		return fmt.Sprintf("predicted start: in %s; no earlier prediction to compare with", round(e.PredictedIn))
	default:
		return fmt.Sprintf("predicted start: in %s; of %d earlier predictions the mean error was %s, at a mean wait of %s",
			round(e.PredictedIn), e.Accuracy.Samples, round(e.Accuracy.Error), round(e.Accuracy.Wait))
	}
}

func (p Placement) text() string {
	text := fmt.Sprintf("attempt %s runs on %s (rack %s) for %s, expected to end in %s; the worker has %s free of %s",
		p.ID, p.Worker, p.Rack, round(p.Ran), round(p.EndsIn), p.Free, p.Size)
	if p.Stopping {
		text += "; it is being stopped"
	}
	return text
}

func round(d time.Duration) time.Duration {
	const shown = 100 * time.Millisecond
	return d.Round(shown)
}
