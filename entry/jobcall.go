package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/work"
)

// jobVerb is what a caller wants of a durable job.
type jobVerb string

// The verbs of job calls.
const (
	verbSubmit  jobVerb = "submit"
	verbGet     jobVerb = "get"
	verbWait    jobVerb = "wait"
	verbCancel  jobVerb = "cancel"
	verbExplain jobVerb = "explain"
)

// maxJobHops bounds how often a job call is passed on: to a host of the home
// zone, and there to the zone's scheduler.
const maxJobHops = 2

// jobCall is a caller's call about a durable job.
type jobCall struct {
	verb     jobVerb
	team     ident.TeamID
	jobText  string
	key      string
	spec     []byte        // a work.Spec in JSON, for verbSubmit
	deadline time.Duration // on the host's clock
	hops     int
}

// waiters holds the goroutines that wait for replies of the engine and for ends
// of jobs.
type waiters struct {
	next  atomic.Uint64
	mu    sync.Mutex
	calls map[uint64]chan engine.Command
	ends  map[ident.JobID]map[uint64]chan struct{}
}

func newWaiters() *waiters {
	return &waiters{calls: map[uint64]chan engine.Command{}, ends: map[ident.JobID]map[uint64]chan struct{}{}}
}

// call registers a call and returns its number and where its reply comes.
func (w *waiters) call() (uint64, chan engine.Command) {
	id := w.next.Add(1)
	reply := make(chan engine.Command, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[id] = reply
	return id, reply
}

func (w *waiters) drop(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, id)
}

// reply hands a command to the goroutine that waits under the number.
func (w *waiters) reply(id uint64, cmd engine.Command) {
	w.mu.Lock()
	reply, ok := w.calls[id]
	delete(w.calls, id)
	w.mu.Unlock()
	if ok {
		reply <- cmd
	}
}

// end returns a channel that is closed when the job ends, and what forgets it.
func (w *waiters) end(job ident.JobID) (<-chan struct{}, func()) {
	id := w.next.Add(1)
	done := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ends[job] == nil {
		w.ends[job] = map[uint64]chan struct{}{}
	}
	w.ends[job][id] = done
	return done, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.ends[job], id)
		if len(w.ends[job]) == 0 {
			delete(w.ends, job)
		}
	}
}

func (w *waiters) ended(job ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, done := range w.ends[job] {
		close(done)
	}
	delete(w.ends, job)
}

// runJobCall answers a job call, here or in its home zone. A question that
// could not be answered says nothing of the job, so its outcome is unknown,
// whatever became of the question.
func (h *Host) runJobCall(ctx context.Context, c jobCall) ([]byte, *problem.Problem) {
	body, p := h.placeJobCall(ctx, c)
	if p != nil && c.verb.asks() {
		p.Outcome = work.OutcomeUnknown
	}
	return body, p
}

// asks reports whether the verb changes nothing.
func (v jobVerb) asks() bool { return v == verbGet || v == verbWait || v == verbExplain }

// placeJobCall answers a job call here if this host schedules the job's zone,
// and passes it on otherwise.
func (h *Host) placeJobCall(ctx context.Context, c jobCall) ([]byte, *problem.Problem) {
	job, err := ident.ParseTaskID(c.jobText)
	if err != nil {
		return nil, problem.NotRun(problem.TypeNotFound, err.Error())
	}
	if job.Zone == h.zone && h.schedules() {
		return h.localJobCall(ctx, c, job)
	}
	if c.hops >= maxJobHops {
		return nil, noScheduler(job.Zone)
	}
	return h.passJobCall(ctx, c, job)
}

func noScheduler(zone ident.Zone) *problem.Problem {
	return problem.NotRun(problem.TypeNotReady,
		"availability zone "+string(zone)+" cannot be reached or is changing its scheduler").After(2 * time.Second)
}

// passJobCall sends the call to the scheduler of the home zone, as far as this
// host knows it, or to another host of that zone.
func (h *Host) passJobCall(ctx context.Context, c jobCall, job ident.JobID) ([]byte, *problem.Problem) {
	for _, target := range h.jobTargets(job.Zone) {
		body, p, sent := h.sendJobCall(ctx, c, target.Addr)
		if sent {
			return body, p
		}
	}
	return nil, noScheduler(job.Zone)
}

// answerMargin is how much earlier than this host the peer gives up. A refusal
// that the peer can only give at the deadline, such as "not run" while the log
// is down, would otherwise come too late and be told as "unknown".
const answerMargin = 500 * time.Millisecond

// sendJobCall reports false if the call certainly did not reach the peer.
//
// A submission whose answer was lost may have been accepted. Its identifier
// was minted before it was sent, so the caller is told "unknown" with the
// identifier, can ask for it, and can repeat it under its own key.
func (h *Host) sendJobCall(ctx context.Context, c jobCall, addr string) ([]byte, *problem.Problem, bool) {
	ctx, cancel := context.WithTimeout(ctx, max(c.deadline-h.now(), 0))
	defer cancel()
	if c.verb == verbWait {
		// A host that stops must not keep its callers waiting.
		stop := context.AfterFunc(h.leaves, cancel)
		defer stop()
	}
	if !h.reaches(ctx, addr) {
		return nil, nil, false
	}
	res, err := h.peers.At(addr).CallJob(ctx, connect.NewRequest(&peerv1.CallJobRequest{
		Verb:           string(c.verb),
		Team:           string(c.team),
		Job:            c.jobText,
		IdempotencyKey: c.key,
		Spec:           c.spec,
		DeadlineLeftMs: (c.deadline - answerMargin - h.now()).Milliseconds(),
		Hops:           int32(c.hops) + 1,
	}))
	if err == nil && res.Msg.GetProblem() == nil {
		return res.Msg.GetBody(), nil, true
	}
	if err == nil {
		return nil, fromWireProblem(res.Msg.GetProblem()), true
	}
	if notDialled(err) {
		return nil, nil, false
	}
	if c.verb != verbSubmit {
		return nil, problem.NotRun(problem.TypeNotReady, "no answer from the job's availability zone").After(time.Second), true
	}
	return nil, problem.Unknown(problem.TypeUpstream,
		"no answer from the job's availability zone; ask for job "+c.jobText+", or repeat with the same Idempotency-Key"), true
}

// localJobCall answers as the scheduler of the job's zone.
func (h *Host) localJobCall(ctx context.Context, c jobCall, job ident.JobID) ([]byte, *problem.Problem) {
	switch c.verb {
	case verbSubmit:
		return h.localSubmit(ctx, c, job)
	case verbCancel:
		return h.askEngine(ctx, c, func(call uint64) engine.Event {
			return engine.JobCancelRequested{Call: call, Job: job, Team: c.team, Deadline: c.deadline}
		})
	case verbWait:
		return h.localWait(ctx, c, job)
	default:
		return h.askEngine(ctx, c, h.query(c, job))
	}
}

func (h *Host) query(c jobCall, job ident.JobID) func(uint64) engine.Event {
	return func(call uint64) engine.Event {
		return engine.JobQueried{Call: call, Job: job, Team: c.team, Explain: c.verb == verbExplain}
	}
}

func (h *Host) localSubmit(ctx context.Context, c jobCall, job ident.JobID) ([]byte, *problem.Problem) {
	var spec work.Spec
	if err := json.Unmarshal(c.spec, &spec); err != nil {
		return nil, malformed("spec", "", "a job specification")
	}
	return h.askEngine(ctx, c, func(call uint64) engine.Event {
		return engine.JobSubmitted{
			Call:        call,
			ID:          job,
			Key:         c.key,
			Fingerprint: digestOf(c.spec),
			Spec:        spec,
			Deadline:    c.deadline,
		}
	})
}

// waitPoll is how often a waiting call looks again by itself. The zone's
// scheduler may change while it waits, and the end is then told elsewhere.
const waitPoll = time.Second

// localWait answers when the job has ended, or at the deadline with how it
// stands. A host that stops answers at once, so that its callers can ask
// another.
func (h *Host) localWait(ctx context.Context, c jobCall, job ident.JobID) ([]byte, *problem.Problem) {
	done, forget := h.waiters.end(job)
	defer forget()
	look := c
	look.verb = verbGet
	look.hops = 0
	wait := jobWait{done: done, leaves: h.leaves.Done(), deadline: c.deadline, now: h.now}
	return wait.run(ctx, func() ([]byte, *problem.Problem) {
		look.deadline = h.now() + jobTimeout
		return h.runJobCall(ctx, look)
	})
}

// jobWait waits for the end of a job.
type jobWait struct {
	done     <-chan struct{} // closed when the job ends
	leaves   <-chan struct{} // closed when this host stops
	deadline time.Duration   // on the host's clock
	now      func() time.Duration
}

// run asks how the job stands until it has ended, the caller's time is over or
// the host stops. A look that meets the stop is refused; the answer is then that
// of the look before.
func (w *jobWait) run(ctx context.Context, look func() ([]byte, *problem.Problem)) ([]byte, *problem.Problem) {
	var newest []byte
	for {
		body, p := look()
		if ctx.Err() != nil || w.now() >= w.deadline || (p == nil && jobEnded(body)) || (p != nil && p.Type == problem.TypeNotFound) {
			return body, p
		}
		if p == nil {
			newest = body
		}
		timer := time.NewTimer(min(waitPoll, max(w.deadline-w.now(), 0)))
		select {
		case <-w.done:
		case <-timer.C:
		case <-w.leaves:
			timer.Stop()
			if newest != nil {
				return newest, nil
			}
			return body, p
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// askEngine puts a job call to the engine and renders its answer.
func (h *Host) askEngine(ctx context.Context, c jobCall, event func(call uint64) engine.Event) ([]byte, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, max(c.deadline-h.now(), 0)+endGrace)
	defer cancel()
	cmd, err := h.ask(ctx, event)
	var full *RingFullError
	if errors.As(err, &full) {
		return nil, problem.NotRun(problem.TypeBusy, err.Error()).After(time.Second)
	}
	answer, ok := cmd.(engine.JobAnswered)
	switch {
	case err == nil && ok:
		return jobReply(answer)
	case c.verb == verbSubmit || c.verb == verbCancel:
		return nil, problem.Unknown(problem.TypeInternal, "no decision by the deadline; ask for job "+c.jobText)
	}
	return nil, problem.NotRun(problem.TypeInternal, "no decision by the deadline")
}

// ask puts a question to the engine and waits for its reply. It returns a
// *RingFullError if the question was not taken, or a *NoReplyError.
func (h *Host) ask(ctx context.Context, event func(call uint64) engine.Event) (engine.Command, error) {
	id, reply := h.waiters.call()
	defer h.waiters.drop(id)
	if !h.events.TryPush(event(id)) {
		h.metrics.ringFull.Inc(1)
		return nil, &RingFullError{}
	}
	select {
	case cmd := <-reply:
		return cmd, nil
	case <-ctx.Done():
		return nil, &NoReplyError{Cause: ctx.Err()}
	}
}

func jobReply(cmd engine.JobAnswered) ([]byte, *problem.Problem) {
	if cmd.Err != nil {
		return nil, jobProblem(cmd.Err)
	}
	body, err := json.Marshal(describeJob(cmd.Info))
	if err != nil {
		return nil, problem.Unknown(problem.TypeInternal, err.Error())
	}
	return body, nil
}

// jobProblem maps the engine's errors to what callers see.
func jobProblem(err error) *problem.Problem {
	var claim *engine.ClaimError
	if errors.As(err, &claim) {
		return claimProblem(claim)
	}
	var refused *engine.JobRefusedError
	if errors.As(err, &refused) {
		return refusedProblem(refused)
	}
	return problem.Unknown(problem.TypeInternal, err.Error())
}

var refusedTypes = map[engine.JobRefusal]problem.Type{
	engine.RefusedNoFit:    problem.TypeNoFit,
	engine.RefusedBusy:     problem.TypeBusy,
	engine.RefusedLog:      problem.TypeLogDown,
	engine.RefusedNotHere:  problem.TypeNotReady,
	engine.RefusedNotFound: problem.TypeNotFound,
	engine.RefusedUnknown:  problem.TypeLogDown,
}

func refusedProblem(e *engine.JobRefusedError) *problem.Problem {
	return problem.New(refusedTypes[e.Refusal], e.Outcome(), e.Detail).After(e.RetryAfter)
}

func claimProblem(e *engine.ClaimError) *problem.Problem {
	if e.Conflict {
		return problem.New(problem.TypeConflict, e.Outcome, e.Error())
	}
	return problem.New(problem.TypeRepeated, e.Outcome, e.Error())
}
