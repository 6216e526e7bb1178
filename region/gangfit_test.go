package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against gangs that reserve workers for ever beside a service that never leaves them room:
// their members must run without other jobs, or would interfere with it.
func TestGangThatServicesKeepOutCountsAsTooWide(t *testing.T) {
	isolate := func(s *Scheduler, st *step) {
		for _, m := range st.tasks {
			for range certainCrashes {
				m.suspicion.crashes = append(m.suspicion.crashes, &loss{task: m})
			}
			s.noteSuspect(m)
		}
	}
	for name, c := range map[string]struct {
		gang    *record.Step
		prepare func(*Scheduler, *step)
	}{
		"isolated":   {&record.Step{Count: 4, Gang: true}, isolate},
		"interferes": {&record.Step{Count: 4, Gang: true, Fills: true, Image: "x"}, func(*Scheduler, *step) {}},
	} {
		t.Run(name, func(t *testing.T) {
			w := wideGangWorld(t)
			w.longRunning = true
			w.takesLong("service", time.Hour)
			w.submit(oneStep("service", &record.Step{Count: 12, LongRunning: true, AntiAffinity: 1, TargetMs: 100, Request: &record.Resources{MilliCpu: 100, MemoryMib: 1}}))
			w.run(time.Second)
			w.logDown = true // the gang is not started
			w.run(time.Second)
			w.submit(oneStep("gang", c.gang))
			st := w.sched.jobs["gang"].occs[0].steps[0]
			c.prepare(w.sched, st)
			if w.sched.couldHold(st) {
				t.Error("the workers could hold the gang beside the service")
			}
			w.sched.jobs["service"].occs[0].steps[0].rec.LongRunning = false // now it ends by itself
			st.tooWideUntil = 0
			if !w.sched.couldHold(st) {
				t.Error("the workers could not hold the gang after the service")
			}
		})
	}
}
