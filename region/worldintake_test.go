package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// submit appends a job to the intake and delivers it to the scheduler.
func (w *world) submit(j *record.Job) { w.submitTo(j, "q") }

func (w *world) submitTo(j *record.Job, queue string) { w.submitAt(j, queue, w.now) }

// submitAt submits a job at a host whose clock shows the time of day.
func (w *world) submitAt(j *record.Job, queue string, timeOfDay time.Duration) {
	if j.Policy == nil {
		j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
	}
	j.Workspace, j.Queue, j.AcceptedUnixMs = "ws", queue, timeOfDay.Milliseconds()
	w.acceptedAt[j.Id] = w.now
	w.appendIntake(&record.Intake{Kind: &record.Intake_Submitted{Submitted: j}})
}

func (w *world) cancel(id string) {
	w.appendIntake(&record.Intake{Kind: &record.Intake_Cancelled{Cancelled: id}})
}

// cancelFor cancels a job with a key of a workspace.
func (w *world) cancelFor(id, workspace string) {
	w.appendIntake(&record.Intake{Kind: &record.Intake_Cancelled{Cancelled: id}, CancelledBy: &workspace})
}

// appendIntake appends a record to the intake and delivers it to the scheduler.
func (w *world) appendIntake(r *record.Intake) {
	if j := r.GetSubmitted(); j != nil && w.submitted[j.Id] == nil {
		w.submitted[j.Id] = j
	}
	w.intake, w.intakeTimes = append(w.intake, r), append(w.intakeTimes, w.now)
	w.deliver(IntakeRead{Records: []*record.Intake{r}})
}

// expireEntries drops the entries that are older than logRetention, and records of the intake if
// these expire.
func (w *world) expireEntries() {
	n := 0
	for w.logRetention > 0 && n < len(w.entryTimes) && w.now-w.entryTimes[n] > w.logRetention {
		n++
	}
	w.entries, w.entryTimes = w.entries[n:], w.entryTimes[n:]
	for w.intakeExpires && len(w.intake) > 0 && w.now-w.intakeTimes[0] > w.logRetention {
		w.intake, w.intakeTimes = w.intake[1:], w.intakeTimes[1:]
	}
}
