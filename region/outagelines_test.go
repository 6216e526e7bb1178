package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// probed hands the outcome of a probe to the scheduler, and returns how many lines about outages and
// counts of a name came of it.
func probed(s *Scheduler, w *worker, request model.ProbeRequest, e CallError, counter string) (lines, counts int) {
	ev := ProbeAnswered{Request: request, SentAt: s.now, Err: e, Response: model.ProbeResponse{BornUnix: 1}}
	if e != CallOK {
		ev.Failure = model.CallTimedOut
	}
	for _, c := range s.Handle(s.now, ev) {
		switch c := c.(type) {
		case Explain:
			if c.Message == "worker not answering" || c.Message == "worker answers again" {
				lines++
			}
		case Count:
			if c.Name == counter {
				counts++
			}
		}
	}
	return lines, counts
}

// A zone with many workers is cut off at once: the lines about it are bounded, and what is left out is
// counted. Those about workers whose runs were lost are written all the same.
func TestLinesAboutOutagesAreBounded(t *testing.T) {
	const workers = 10 * maxOutageLines
	s := fullScheduler(workers)
	s.now = time.Hour + 2*time.Second
	lines, suppressed := 0, 0
	answer := func(w *worker, e CallError) {
		l, n := probed(s, w, model.ProbeRequest{Worker: w.ref()}, e, "outage_lines_suppressed")
		lines, suppressed = lines+l, suppressed+n
	}
	for _, e := range []CallError{CallNoAnswer, CallNoAnswer, CallOK} {
		for _, w := range s.workerList {
			answer(w, e)
		}
	}
	if lines != maxOutageLines || suppressed != 2*workers-maxOutageLines {
		t.Errorf("%d lines in a second and %d suppressed, want %d and %d", lines, suppressed, maxOutageLines, 2*workers-maxOutageLines)
	}
	w := s.workerList[0]
	w.noteGivenUp(s.now)
	if answer(w, CallOK); lines != maxOutageLines+1 {
		t.Error("no line about a worker whose runs were lost")
	}
	s.now += time.Second
	if answer(w, CallNoAnswer); lines != maxOutageLines+2 {
		t.Error("no line in the next second")
	}
}

// A probe that is refused for an earlier fencing token has reached its worker.
func TestRefusedFenceIsNoOutage(t *testing.T) {
	s := fullScheduler(1)
	w := s.workerList[0]
	request := model.ProbeRequest{Worker: w.ref(), Fence: s.fenceOf(w)}
	s.raiseFence(w)
	if lines, _ := probed(s, w, request, CallFenced, ""); lines > 0 || w.failures != 1 {
		t.Errorf("%d lines, %d failures, want none and 1", lines, w.failures)
	}
}

// An answer that is not taken in, as the worker has got another incarnation since the probe was sent, is
// counted.
func TestAnswerOfEarlierIncarnationIsCounted(t *testing.T) {
	s := fullScheduler(1)
	w := s.workerList[0]
	earlier := w.ref()
	earlier.BornUnix--
	if _, n := probed(s, w, model.ProbeRequest{Worker: earlier}, CallOK, "probe_answers_passed_over"); n != 1 {
		t.Errorf("counted %d times, want once", n)
	}
}

// An answered probe of a worker without an outage allocates nothing for the record of its contact.
func TestRecordOfContactAllocatesNothing(t *testing.T) {
	s := fullScheduler(1)
	w := s.workerList[0]
	ev := ProbeAnswered{Request: model.ProbeRequest{Worker: w.ref()}, SentAt: s.now}
	if n := testing.AllocsPerRun(100, func() { s.noteProbeAnswered(w, ev); s.countAcknowledged() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
