package region

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/model"
)

// readEnds are the ends as done that schedulers of a world have read, whatever became of them.
type readEnds map[readEndKey]int32

// readEndKey is a task, or the gang that it belongs to, as one leader knows it.
type readEndKey struct {
	generation int
	task       model.TaskID
}

func (w *world) readEndKeyOf(id model.TaskID) readEndKey {
	if w.job(id.Job).Steps[id.Step].Gang {
		id.Index = 0
	}
	return readEndKey{w.generation, id}
}

// noteReadEnds notes the ends as done that an event brings to the scheduler: from a worker, or from the log.
func (w *world) noteReadEnds(ev Event) {
	switch ev := ev.(type) {
	case ProbeAnswered:
		for _, e := range ev.Response.Ended {
			if t := w.sched.findTask(e.Task); t != nil && t.isFinal(e.Outcome) {
				w.noteReadEnd(e.Task, e.Run)
			}
		}
	case EntriesRead:
		for _, e := range ev.Entries {
			if d := e.GetDoneRead(); d != nil {
				w.noteReadEnd(model.TaskIDOf(d.Task), d.Run)
			}
			for _, t := range slices.Concat(e.GetKept().GetTasks(), e.GetKeptRepeating().GetTasks()) {
				if t.DoneRun > 0 {
					w.noteReadEnd(model.TaskIDOf(t.Task), t.DoneRun)
				}
			}
		}
	}
}

func (w *world) noteReadEnd(id model.TaskID, run int32) {
	if w.readEnds == nil {
		w.readEnds = make(readEnds)
	}
	w.readEnds[w.readEndKeyOf(id)] = run
}

// checkReadEnds checks that the scheduler starts no task, and no member of a gang, of which it has read
// an end as done.
func (w *world) checkReadEnds(c Command) {
	start, ok := c.(Start)
	if !ok {
		return
	}
	if run, read := w.readEnds[w.readEndKeyOf(start.Request.Task)]; read {
		w.fatal("run %d of %v is started after run %d was read as done", start.Request.Run, start.Request.Task, run)
	}
}
