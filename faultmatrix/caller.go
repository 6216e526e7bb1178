package faultmatrix

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// call is one request at the edge of a host.
type call struct {
	ev       engine.RequestAdmitted
	deadline time.Duration // on the world's clock
	body     string        // of the answer, once it is whole
	end      func(callEnd)
}

// callEnd is what the edge tells whoever handed the request in.
type callEnd struct {
	outcome work.Outcome
	body    string // of the answer, if there is one
	cause   request.Cause
	claim   *engine.ClaimError
}

// cut ends the call of a host that died: the caller cannot know more.
func (c *call) cut() { c.end(callEnd{outcome: work.OutcomeUnknown}) }

// sortedIDs lists the keys of a map of calls in order.
func sortedIDs(calls map[ident.TaskID]*call) []ident.TaskID {
	ids := make([]ident.TaskID, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ident.TaskID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

// take hands a call to the engine. end is called once.
func (h *host) take(ev engine.RequestAdmitted, deadline time.Duration, end func(callEnd)) {
	id := ev.Request.ID
	if _, taken := h.calls[id]; taken {
		end(callEnd{outcome: work.OutcomeUnknown, cause: request.CauseDuplicate})
		return
	}
	h.calls[id] = &call{ev: ev, deadline: deadline, end: end}
	h.w.reached(StepAdmit, h, "")
	h.wake(func() { h.step(ev) })
}

// carryCaller carries out what concerns callers and the host itself.
func (h *host) carryCaller(cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.ForwardCall:
		h.forward(cmd)
	case engine.RequestDone:
		h.requestDone(cmd)
	case engine.JobAnswered:
		h.answered(cmd.Call, cmd)
	case engine.JobDone:
		h.w.hist.jobDone(cmd)
	case engine.ConfigChanged:
		h.state = cmd.State
		h.w.hist.configured(h.w.Now(), h.holder, cmd.State.Offset())
	case engine.Drained:
		h.w.hist.drained(h)
		h.gone()
	case engine.Reincarnate:
		h.w.hist.note(h.w.Now(), h.holder, "reincarnates: "+cmd.Reason)
		h.die()
		h.w.After(restartAfter, func() { h.w.boot(h.id, h.zone) })
	case engine.Noted:
		h.w.hist.note(h.w.Now(), h.holder, cmd.Detail)
	}
}

func (h *host) requestDone(cmd engine.RequestDone) {
	c, ok := h.calls[cmd.ID]
	if !ok {
		h.w.hist.broken(PromiseWhole, "%v ended twice or was never taken", cmd.ID)
		return
	}
	delete(h.calls, cmd.ID)
	h.w.reached(StepReturn, h, "")
	switch {
	case cmd.Claim != nil:
		c.end(callEnd{outcome: cmd.Claim.Outcome, claim: cmd.Claim})
	case cmd.Cause != nil:
		c.end(callEnd{outcome: cmd.Cause.Outcome(), cause: cmd.Cause.Cause})
	default:
		c.end(callEnd{outcome: work.OutcomeRan, body: c.body})
	}
}

// served is a worker's answer to a call.
type served struct {
	body string
	fail bool
}

// callWorker runs a call on a worker for its service time.
func (h *host) callWorker(cmd engine.CallWorker) {
	c, ok := h.calls[cmd.ID]
	if !ok {
		return
	}
	left := c.deadline - h.w.Now()
	h.w.send(exchange{
		from: h, to: placeOf(h.w.places[cmd.Worker]), step: StepCall, back: StepAnswer, timeout: max(left, 0),
		// A call has a connection to itself, and the adapter never sends it again,
		// so only non-idempotent calls, which the worker knows again, are doubled.
		single: !c.ev.Request.NonIdempotent,
		serve:  func(answer func(reply)) { h.serveCall(c, cmd, left, answer) },
		done:   func(r reply) { h.workerAnswered(c, cmd, r) },
	})
}

// serveCall is the worker's side of a call. It counts the time left from the
// arrival, and stops a call whose connection is closed.
func (h *host) serveCall(c *call, cmd engine.CallWorker, left time.Duration, answer func(reply)) {
	w := h.w.workers[cmd.Worker]
	if h.w.Now() >= c.deadline {
		return // its connection was closed before it arrived; see Assumptions in docs/FAULTS.md
	}
	req := c.ev.Request
	stopped := false
	ticket, err := w.BeginCall(h.w.Now(), ports.Call{
		Epoch: cmd.Epoch, Holder: h.holder, ID: req.ID, Team: req.Team, Service: req.Service,
		Deadline: left, NonIdempotent: req.NonIdempotent,
	}, func() { stopped = true })
	var silent *standin.NoAnswerError
	if errors.As(err, &silent) {
		if silent.Dead {
			answer(reply{err: &ports.NotSentError{Op: silent.Op, Cause: err}})
		}
		return
	}
	if err != nil {
		answer(reply{err: err})
		return
	}
	h.w.deliverAt(c.deadline, h, placeOf(h.w.places[cmd.Worker]), func() { w.EndCall(h.w.Now(), ticket, standin.EndAborted) })
	h.w.After(h.w.load.serviceTime(), func() {
		if stopped || w.Faults().Killed {
			return
		}
		end := standin.EndDone
		if ticket.Fail {
			end = standin.EndFailed
		}
		w.EndCall(h.w.Now(), ticket, end)
		if w.Faults().Paused {
			return
		}
		h.w.reached(StepAnswer, h, cmd.Worker)
		answer(reply{value: served{body: req.ID.String(), fail: ticket.Fail}})
	})
}

// workerAnswered classifies the end of a call as package entry does.
func (h *host) workerAnswered(c *call, cmd engine.CallWorker, r reply) {
	report := engine.RequestFinished{Worker: cmd.Worker, Epoch: cmd.Epoch, Finished: request.Finished{ID: cmd.ID}}
	var refused *ports.RefusedError
	var notSent *ports.NotSentError
	switch {
	case r.err == nil:
		got := r.value.(served)
		c.body = got.body
		report.Finished.Result = request.ResultAnswered
		report.Finished.ServerFail = got.fail
	case errors.As(r.err, &refused):
		report.Refusal = refused.Refusal
		report.Finished.Result = request.ResultNotRun
		if refused.Refusal == ports.RefusedDuplicate {
			report.Finished.Result = request.ResultUncertain
		}
	case errors.As(r.err, &notSent):
		report.Finished.Result = request.ResultNotRun
	case h.w.Now() >= c.deadline:
		report.Finished.Result = request.ResultDeadline
	default:
		report.Finished.Result = request.ResultUncertain
	}
	h.step(report)
}

// forward hands a call to a peer, which takes its identifier at most once.
func (h *host) forward(cmd engine.ForwardCall) {
	c, ok := h.calls[cmd.ID]
	if !ok {
		return
	}
	h.w.send(exchange{
		from: h, to: h.w.placeOfHost(cmd.Peer), step: StepCall, back: StepAnswer, timeout: max(c.deadline-h.w.Now(), 0),
		serve: func(answer func(reply)) {
			p := h.w.live(cmd.Peer)
			if p == nil {
				answer(reply{err: &ports.NotSentError{Op: "forward", Cause: errNoAnswer}})
				return
			}
			p.wake(func() { p.takeForward(c, func(e callEnd) { answer(reply{value: e}) }) })
		},
		done: func(r reply) { h.forwardAnswered(c, cmd, r) },
	})
}

func (h *host) takeForward(c *call, end func(callEnd)) {
	ev := engine.RequestAdmitted{Request: c.ev.Request}
	ev.Request.Hops++
	ev.Request.Deadline = h.now() + c.deadline - h.w.Now()
	h.take(ev, c.deadline, end)
}

func (h *host) forwardAnswered(c *call, cmd engine.ForwardCall, r reply) {
	fin := request.Finished{ID: cmd.ID, Result: request.ResultUncertain}
	var notSent *ports.NotSentError
	switch {
	case errors.As(r.err, &notSent):
		fin.Result = request.ResultNotRun
	case r.err != nil:
		if h.w.Now() >= c.deadline {
			fin.Result = request.ResultDeadline
		}
	default:
		end := r.value.(callEnd)
		switch {
		case end.body != "":
			c.body = end.body
			fin.Result = request.ResultAnswered
		case end.outcome == work.OutcomeNotRun:
			fin.Result = request.ResultNotRun
			fin.Refused = true
		}
	}
	h.step(engine.RequestFinished{Finished: fin})
}
