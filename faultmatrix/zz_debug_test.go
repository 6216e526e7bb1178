package faultmatrix

import (
	"os"
	"testing"
)

func TestDebug4(t *testing.T) {
	r := Cell{Step: Step(os.Getenv("STEP")), Faults: []Fault{Fault(os.Getenv("FAULT"))}, Seed: matrixSeed}.Run()
	for _, q := range r.World.hist.Requests {
		if q.Outcome.String() == "unknown" && q.Cause == "upstream-error" {
			t.Logf("%+v", q)
			for _, e := range r.World.audit.History() {
				if e.ID == q.ID.String() {
					t.Log(e.At, e.Worker, e.ID, e.Holder, e.Epoch, e.End)
				}
			}
		}
	}
	for _, h := range r.World.hosts {
		if h.alive {
			f := h.eng.Facts()
			t.Log(r.World.Now(), h.holder, f.Counters)
		}
	}
}
