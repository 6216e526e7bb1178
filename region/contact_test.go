package region

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// failureOf returns why a call to a worker has failed.
func (w *world) failureOf(worker string, e CallError) model.CallFailure {
	switch e {
	case CallOK:
		return model.NoFailure
	case CallNotSent:
		return model.DialRefused
	case CallFenced:
		return model.RefusedByFence
	case CallOtherIncarnation:
		return model.AnsweredByOther
	}
	if fw := w.workers[worker]; fw != nil {
		return cmp.Or(fw.failsWith, model.CallTimedOut)
	}
	return model.CallTimedOut
}

// linesOf returns the lines with a message.
func (w *world) linesOf(message string) []string {
	var lines []string
	for _, line := range w.explanations {
		if strings.Contains(line, " "+message+" ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// mustLine returns the only line with a message, and fails the test if it lacks one of the fields.
func (w *world) mustLine(message string, fields ...string) string {
	w.t.Helper()
	lines := w.linesOf(message)
	if len(lines) != 1 {
		w.fatal("%d lines %q, want one: %v", len(lines), message, lines)
	}
	for _, f := range fields {
		if !strings.Contains(lines[0], "{"+f+"}") {
			w.t.Errorf("%q has no field {%s}", lines[0], f)
		}
	}
	return lines[0]
}

// intField returns the number in a field of a line.
func (w *world) intField(line, name string) int {
	w.t.Helper()
	_, rest, found := strings.Cut(line, "{"+name+" ")
	var n int
	if _, err := fmt.Sscan(strings.TrimRight(strings.SplitN(rest, "}", 2)[0], "}"), &n); !found || err != nil {
		w.fatal("%q has no number %s", line, name)
	}
	return n
}

// Guards against a lost run whose cause nobody can tell: the line of the loss says how the last probes
// of its worker have failed, or that there were none.
func TestLostRunSaysWhatItRestsOn(t *testing.T) {
	cases := map[string]struct {
		fault      func(*world, *fakeWorker)
		fields     []string
		failures   bool // some probes have failed since the newest answer
		inFlight   bool // a probe has been in flight since the fault began
		neverHeard bool // this leader has had no answer
	}{
		"unanswered": {
			fault:  func(_ *world, fw *fakeWorker) { fw.unreachable = true },
			fields: []string{"failure timed_out", "listed true", "draining false"}, failures: true,
		},
		"connections end": {
			fault:  func(_ *world, fw *fakeWorker) { fw.unreachable, fw.failsWith = true, model.ConnectionEnded },
			fields: []string{"failure connection_ended"}, failures: true,
		},
		"has left": {
			fault: func(w *world, fw *fakeWorker) {
				fw.entry.Draining = true
				w.deliver(WorkerListed{Entry: fw.entry})
				fw.unreachable = true
				w.deliver(WorkerUnlisted{ID: fw.entry.ID})
			},
			fields: []string{"listed false", "draining true"}, failures: true,
		},
		"a call that does not come back": {
			fault:  func(w *world, _ *fakeWorker) { w.hungProbes = true },
			fields: []string{"failure none", "failed_ms_ago -1", "held_ms -1"}, inFlight: true,
		},
		"no probe is sent": {
			fault: func(w *world, fw *fakeWorker) {
				w.hungProbes = true
				w.run(time.Second)
				w.sched.workers[fw.entry.ID].probing = false
			},
			fields: []string{"failure none", "failed_ms_ago -1", "in_flight_ms -1"},
		},
		"never probed": {
			fault: func(w *world, fw *fakeWorker) {
				for _, e := range w.entries {
					if a := e.GetAssigned(); a != nil {
						a.Address = ""
					}
				}
				w.stopLeader()
				w.expireEntry(fw)
				w.startLeader()
			},
			fields: []string{"failure none", "failed_ms_ago -1", "in_flight_ms -1", "listed false", "looked_ms_ago -1", "clock_ms_ago -1"}, neverHeard: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, fw := minuteRun(t)
			w.run(3 * time.Second)
			c.fault(w, fw)
			for until := w.now + 40*time.Second; len(w.linesOf("run lost")) == 0 && w.now < until; {
				w.run(10 * time.Millisecond)
			}
			line := w.mustLine("run lost", append(c.fields, "why its lease is over", "ends_read 0", "ends_acked 0")...)
			if n := w.intField(line, "failures"); (n > 0) != c.failures {
				t.Errorf("%q: %d failures", line, n)
			}
			if c.failures && w.intField(line, "failed_ms_ago") > 1000 {
				t.Errorf("%q: the newest failure is old", line)
			}
			if n := w.intField(line, "in_flight_ms"); (n > 1000) != c.inFlight {
				t.Errorf("%q: a probe in flight for %d ms", line, n)
			}
			if n := w.intField(line, "lease_over_ms"); n < 0 || n > int(maxExpiryDelay.Milliseconds())+100 {
				t.Errorf("%q: the lease has been over for %d ms", line, n)
			}
			if n := w.intField(line, "clock_ms_ago"); (n < 0) != c.neverHeard {
				t.Errorf("%q: the clock was read %d ms ago", line, n)
			}
		})
	}
}

// Each outage of a worker with runs has one line when it begins and one when it ends, and those of an
// idle worker have none.
func TestOutageHasOneLineAtEachEnd(t *testing.T) {
	w, fw := minuteRun(t)
	w.addWorker("idle", 1).unreachable = true
	w.run(time.Second)
	if lines := w.linesOf("worker not answering"); len(lines) > 0 {
		t.Errorf("lines about an idle worker: %v", lines)
	}
	for range 3 {
		w.explanations = nil
		fw.unreachable = true
		w.run(900 * time.Millisecond) // less than the worker's lease
		fw.unreachable = false
		w.run(2 * time.Second)
		w.mustLine("worker not answering", "worker w1", "why timed_out", "runs 1", "failures 1")
		end := w.mustLine("worker answers again", "worker w1", "why timed_out", "runs 1")
		if n := w.intField(end, "for_ms"); n < 500 || n > 1500 {
			t.Errorf("%q: an outage of 0.9 s", end)
		}
		if n := w.intField(end, "failures"); n < 2 {
			t.Errorf("%q: a failure each 0.55 s", end)
		}
		if strings.Contains(end, "runs_lost") {
			t.Errorf("%q: no run was lost", end)
		}
	}
}

// Guards against a run that goes on beyond the lease that the leader has reckoned, unnoticed: the
// worker's next answer tells by its own clock whether the lease was over when its runs were given up.
func TestNextAnswerTellsWhetherTheLeaseWasOver(t *testing.T) {
	for name, c := range map[string]struct {
		drift float64
		over  bool
	}{"clock in time": {0, true}, "clock slower than allowed": {0.3, false}} {
		t.Run(name, func(t *testing.T) {
			w, fw := minuteRun(t)
			w.run(2 * time.Second)
			fw.bornAt = w.now - time.Duration(fw.clock(w.now))*time.Millisecond // its clock goes on from here
			fw.drift = 0
			w.run(2 * time.Second)
			from := w.now
			fw.unreachable = true
			for len(w.linesOf("run lost")) == 0 {
				w.run(10 * time.Millisecond)
			}
			elapsed := w.now - from
			w.run(time.Second)
			fw.unreachable = false
			fw.bornAt += time.Duration(c.drift * float64(elapsed)) // what the clock lost meanwhile
			w.run(time.Second)
			line := w.mustLine("worker answers again", "runs_lost 1")
			if n := w.intField(line, "lease_over_ms"); (n > 0) != c.over {
				t.Errorf("%q: lease over for %d ms", line, n)
			}
			if n := w.intField(line, "clock_off_ms"); (n < -500) == c.over {
				t.Errorf("%q: the clock is off by %d ms", line, n)
			}
		})
	}
}

// The next incarnation of a worker does not answer for the one before, whose end has its own line.
func TestNextIncarnationDoesNotAnswerAgain(t *testing.T) {
	w, fw := minuteRun(t)
	fw.unreachable = true
	w.run(800 * time.Millisecond)
	w.mustLine("worker not answering")
	fw.unreachable = false
	fw.restart(w)
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(2 * time.Second)
	if lines := w.linesOf("worker answers again"); len(lines) > 0 {
		t.Errorf("lines of the next incarnation: %v", lines)
	}
}

// Guards against the loss of what is known of given up runs with their worker: behind a cut its entry in
// the host list expires, so that it is forgotten, and is written again later. A later incarnation has
// nothing to tell of them.
func TestForgottenWorkerAnswersAgain(t *testing.T) {
	for name, later := range map[string]bool{"same incarnation": false, "later incarnation": true} {
		t.Run(name, func(t *testing.T) {
			w, fw := minuteRun(t)
			w.run(time.Second)
			fw.unreachable = true
			w.expireEntry(fw)
			w.run(testLease + 2*time.Second)
			if _, known := w.sched.workers["w1"]; known {
				w.fatal("the worker is not forgotten")
			}
			fw.unreachable = false
			if later {
				fw.restart(w)
			}
			w.deliver(WorkerListed{Entry: fw.entry})
			w.run(time.Second)
			if lines := w.linesOf("worker answers again"); later && len(lines) > 0 {
				t.Errorf("lines of the later incarnation: %v", lines)
			}
			if !later && w.intField(w.mustLine("worker answers again", "runs_lost 1"), "lease_over_ms") < 0 {
				t.Error("its lease was not over")
			}
			w.mustLine("worker not answering")
		})
	}
}

// The counter of acknowledged ends has each end once, also if its acknowledgement is repeated.
func TestAcknowledgedEndsAreCountedOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	calls := 0
	w.losesAnswer = func(string) bool { calls++; return calls%5 == 0 }
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 40}))
	w.run(30 * time.Second)
	w.losesAnswer = func(string) bool { return false }
	w.run(5 * time.Second)
	w.mustComplete("a")
	if ended := w.workers["w1"].nextEnd; w.counts["ends_acknowledged"] != ended {
		t.Errorf("%d ends acknowledged, the worker has listed %d", w.counts["ends_acknowledged"], ended)
	}
}
