package capacity

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ports"
)

func (z *zone) append(stream ports.Stream, group [][]byte) {
	z.sent.appends++
	z.sent.records += len(group)
	for _, data := range group {
		z.sent.recordBytes += len(data)
		z.logs[stream] = append(z.logs[stream], ports.Record{Offset: ports.Offset(len(z.logs[stream]) + 1), Data: data})
	}
}

// answerReads answers reads that found something or waited long enough.
func (z *zone) answerReads() {
	open := z.reads
	z.reads = nil
	for _, r := range open {
		records := z.logs[r.Stream]
		page := ports.Page{Last: ports.Offset(len(records))}
		if len(records) > 0 {
			page.First = 1
		}
		if from := int(min(r.After, page.Last)); from < len(records) {
			page.Records = records[from:min(from+r.Limit, len(records))]
		}
		if len(page.Records) == 0 && z.now < r.until {
			z.reads = append(z.reads, r)
			continue
		}
		z.events = append(z.events, engine.StreamRead{Stream: r.Stream, Tag: r.Tag, Page: page})
	}
}

// lease grants or renews a lease.
func (z *zone) lease(cmd engine.SendLease) {
	w := z.workers[cmd.Key.Worker]
	if cmd.Request.Epoch == 0 {
		w.epoch[cmd.Key.Class]++
	}
	w.forget(cmd.Request.AckedEnds)
	grant := ports.LeaseGrant{Epoch: w.epoch[cmd.Key.Class], Size: workerSize}
	if cmd.Key.Class == ports.ClassCompute {
		grant.Tasks = w.report(z.now)
	}
	z.sent.leases++
	z.sent.leaseBytes += jsonBytes(cmd.Request) + jsonBytes(grant)
	z.events = append(z.events, engine.LeaseAnswered{Key: cmd.Key, SentAt: cmd.SentAt, Epoch: cmd.Request.Epoch, Grant: grant})
}

func (z *zone) start(cmd engine.StartTask) {
	w := z.workers[cmd.Worker]
	w.tasks = append(w.tasks, stubTask{
		report: ports.TaskReport{ID: cmd.Request.ID, Team: cmd.Request.Team, Need: cmd.Request.Need, Holder: cmd.Request.Holder, Usage: cmd.Request.Need},
		began:  z.now, run: cmd.Request.Run,
	})
	z.sent.starts++
	z.sent.startBytes += jsonBytes(cmd.Request)
	z.events = append(z.events, engine.StartAnswered{ID: cmd.ID, Worker: cmd.Worker, Epoch: cmd.Request.Epoch})
}

// report lists the tasks of a worker.
func (w *stubWorker) report(now time.Duration) []ports.TaskReport {
	list := make([]ports.TaskReport, len(w.tasks))
	for i := range w.tasks {
		t := &w.tasks[i]
		if !t.report.Ended {
			t.report.Ran = now - t.began
			t.report.Ended = t.run > 0 && t.report.Ran >= t.run
		}
		list[i] = t.report
	}
	return list
}

// forget drops acknowledged ends.
func (w *stubWorker) forget(ids []string) {
	w.tasks = slices.DeleteFunc(w.tasks, func(t stubTask) bool { return t.report.Ended && slices.Contains(ids, t.report.ID) })
}

func (w *stubWorker) stop(id string) {
	for i := range w.tasks {
		if w.tasks[i].report.ID == id {
			w.tasks[i].report.Ended = true
			w.tasks[i].report.Stopped = true
		}
	}
}

func jsonBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // types of the wire can be rendered
	}
	return len(data)
}
