package faultmatrix
import ("testing";"os")
func TestDebug(t *testing.T) {
	r := Cell{Step: Step(os.Getenv("STEP")), Faults: []Fault{Fault(os.Getenv("FAULT"))}, Seed: matrixSeed}.Run()
	out := map[string]int{}
	for _, q := range r.World.hist.Requests { out[q.Outcome.String()+"/"+string(q.Cause)]++ }
	jo := map[string]int{}
	for _, j := range r.World.hist.Jobs { jo[string(j.Final.State)+"/"+j.Final.Outcome.String()+"/"+j.Final.Reason]++ }
	t.Log(r.Struck, r.At, out, jo)
	for _, v := range r.Broken { t.Log(v) }
	if os.Getenv("NOTES")!="" { for _, n := range r.World.hist.Notes { t.Log(n) } }
}
func TestDebug2(t *testing.T) {
	r := Cell{Step: Step(os.Getenv("STEP")), Faults: []Fault{Fault(os.Getenv("FAULT"))}, Seed: matrixSeed}.Run()
	for _, h := range r.World.hosts { if h.alive { f := h.eng.Facts(); t.Log(r.World.Now(), h.holder, "sched", f.Scheduler, "epoch", f.Epoch, "recovering", f.Recovering, "units", f.Units, "waiting", f.JobsWaiting, "running", f.JobsRunning)
		for _, w := range f.Workers { t.Log("   ", w.Entry.Worker, "slots", w.SlotsHeld, "compute", w.ComputeHeld, w.Quarantined, "tasks", w.Tasks, w.Used) } } }
	job := os.Getenv("JOB")
	for _, e := range r.World.audit.History() { if jobOf(e.ID) == job { t.Log(e.At, e.Worker, e.ID, e.Holder, e.Epoch, e.End) } }
	page, _, _ := r.World.log.Read(r.World.Now(), "limits", 0, 4000)
	if os.Getenv("LIMITS") != "" { for _, rec := range page.Records { t.Log(rec.Offset, string(rec.Data)) } }
	page, _, _ = r.World.log.Read(r.World.Now(), "jobs/a", 0, 4000)
	if os.Getenv("JOBS") != "" { for _, rec := range page.Records { t.Log(rec.Offset, string(rec.Data)) } }
}
