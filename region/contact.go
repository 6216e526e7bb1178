package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// maxOutageLines bounds the lines a second about workers that stop and begin to answer: more than
// the workers of a rack, and far fewer than those of a zone, which may be cut off at once. What is
// left out counts in outage_lines_suppressed.
const maxOutageLines = 20

// contact is what the probes of a worker's present incarnation tell of the contact to it. It is only
// reported: no decision rests on it. It is kept apart from the worker, which each pass reads.
type contact struct {
	probeSentAt time.Duration     // when the probe in flight was sent, or is to be sent
	failedAt    time.Duration     // when the newest probe was sent that failed; 0 for none
	outageSince time.Duration     // when the first probe was sent that has failed since the newest answer
	failures    int32             // how many have failed since then
	failure     model.CallFailure // why the newest one failed that has
	outageNoted bool              // the worker has, or had, runs in this outage
	givenUp     givenUp
	born        int64 // the incarnation of a worker that was forgotten since; 0 for none
}

// givenUp is what is known of the runs of a worker that were counted as lost with its lease.
type givenUp struct {
	runs    int           // how many since the newest answer
	at      time.Duration // when the newest of them was; 0 for none
	clockMs int64         // the worker's clock then, by the leader's reckoning
	leaseMs int64         // end of its lease on its clock; 0 if an earlier leader granted it
}

// lineBudget bounds the lines that are written a second.
type lineBudget struct {
	second time.Duration // when the present second began
	lines  int           // lines written in it
}

func (b *lineBudget) take(now time.Duration) bool {
	if now-b.second >= time.Second {
		b.second, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxOutageLines
}

// outageLines are the budgets of lines about outages. Those in which runs were lost have their own,
// so that a link that loses many answers does not suppress them.
type outageLines struct{ brief, lossy lineBudget }

func (s *Scheduler) explainOutage(b *lineBudget, what string, fields func() []Field) {
	if !b.take(s.now) {
		s.emit(Count{Name: "outage_lines_suppressed"})
		return
	}
	s.explain("", what, fields()...)
}

// noteProbeFailed records a failed probe, and reports the first one of an outage in which the worker
// has runs. A probe that is refused for its fencing token has reached the worker.
func (s *Scheduler) noteProbeFailed(w *worker, ev ProbeAnswered) {
	if w.failures == 0 {
		w.outageSince = ev.SentAt
	}
	w.failures++
	w.failedAt, w.failure = ev.SentAt, ev.Failure
	if w.outageNoted || len(w.runs) == 0 || ev.Err == CallFenced {
		return
	}
	w.outageNoted = true
	s.emit(Count{Name: "worker_outages", Why: ev.Failure.String()})
	s.explainOutage(&s.outageLines.brief, "worker not answering", func() []Field {
		return []Field{{"worker", w.entry.ID}, {"born", w.incarnation.BornUnix}, {"why", ev.Failure.String()}, {"runs", len(w.runs)},
			{"took_ms", (s.now - ev.SentAt).Milliseconds()}, {"failures", w.failures},
			{"looked_ms_ago", w.probeAge(s.now).Milliseconds()}, {"listed", w.listed}, {"draining", w.entry.Draining}}
	})
}

// noteProbeAnswered ends an outage. It is called before the answer is applied.
func (s *Scheduler) noteProbeAnswered(w *worker, ev ProbeAnswered) {
	if w.born != 0 && w.born != w.incarnation.BornUnix {
		*w.contact = contact{probeSentAt: w.probeSentAt}
	}
	switch {
	case w.givenUp.runs > 0:
		s.reportAnswer(w, ev, &s.outageLines.lossy)
	case w.outageNoted:
		s.reportAnswer(w, ev, &s.outageLines.brief)
	}
	w.endOutage()
}

func (w *worker) endOutage() {
	w.failures, w.outageNoted, w.givenUp.runs, w.born = 0, false, 0, 0
}

// reportAnswer reports the first answer after an outage, with the worker's clock against what this
// leader has taken it to be.
func (s *Scheduler) reportAnswer(w *worker, ev ProbeAnswered, b *lineBudget) {
	s.explainOutage(b, "worker answers again", func() []Field {
		fields := []Field{{"worker", w.entry.ID}, {"born", w.incarnation.BornUnix}, {"runs", len(w.runs)}, {"failures", w.failures},
			{"why", w.failure.String()}, {"for_ms", w.silentFor(s.now).Milliseconds()}, {"took_ms", (s.now - ev.SentAt).Milliseconds()}}
		if w.givenUp.runs > 0 {
			return append(fields, w.givenUp.fields(ev.Response.ClockMs, s.now)...)
		}
		if w.clockAt > 0 {
			fields = append(fields, Field{"clock_off_ms", ev.Response.ClockMs - w.clock(s.now)})
		}
		return fields
	})
}

// fields returns what the worker's clock, as read now, tells of the lease when the runs were given up.
func (g *givenUp) fields(clockMs int64, now time.Duration) []Field {
	ago := (now - g.at).Milliseconds()
	fields := []Field{{"runs_lost", g.runs}, {"lost_ms_ago", ago}}
	if g.leaseMs > 0 {
		then := clockMs - ago
		fields = append(fields, Field{"clock_off_ms", then - g.clockMs}, Field{"lease_over_ms", then - g.leaseMs})
	}
	return fields
}

// silentFor returns how long probes of a worker have failed, or 0 if none has since the newest answer.
func (w *worker) silentFor(now time.Duration) time.Duration {
	if w.failures == 0 {
		return 0
	}
	return now - w.outageSince
}

// noteGivenUp records that a run on the worker is counted as lost with its lease.
func (w *worker) noteGivenUp(now time.Duration) {
	w.givenUp.runs++
	w.givenUp.at, w.givenUp.leaseMs = now, 0
	if w.fenced {
		w.givenUp.clockMs, w.givenUp.leaseMs = w.clock(now), w.leaseMs
	}
}

// departing returns the contact to a worker that is being forgotten. Its entry in the host list may
// have expired behind a cut, and be written again by the same incarnation.
func (w *worker) departing() contact {
	c := *w.contact
	c.born = w.incarnation.BornUnix
	return c
}

// contactFields returns what the loss of a run rests on.
func (w *worker) contactFields(now time.Duration) []Field {
	return []Field{
		{"failed_ms_ago", msSince(w.failedAt, now)}, {"failure", w.failure.String()}, {"failures", w.failures},
		{"in_flight_ms", w.inFlightMs(now)}, {"held_ms", msSince(w.probeHeldAt, now)},
		{"listed", w.listed}, {"draining", w.entry.Draining}, {"ends_read", w.ends.highest}, {"ends_acked", w.ends.acked},
		{"clock_ms_ago", msSince(w.clockAt, now)}, {"lease_over_ms", (now - w.lapsesAt()).Milliseconds()},
	}
}

// inFlightMs returns for how long a probe has been in flight: -1 if none is, and 0 if it waits for its
// time to be sent.
func (w *worker) inFlightMs(now time.Duration) int64 {
	if !w.probing {
		return -1
	}
	return max(0, now-w.probeSentAt).Milliseconds()
}

// msSince returns how many milliseconds ago a time was, or -1 for 0.
func msSince(at, now time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (now - at).Milliseconds()
}

// countAcknowledged counts the ends that workers have dropped since the last tick.
func (s *Scheduler) countAcknowledged() {
	if s.endsAcked > 0 {
		s.emit(Count{Name: "ends_acknowledged", N: s.endsAcked})
		s.endsAcked = 0
	}
}
