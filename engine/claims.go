package engine

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/work"
)

// claimMargin is the time before a request's deadline by which its claim must
// be in the log. It leaves time to run the request.
const claimMargin = 200 * time.Millisecond

// keyHashBytes is the length of a key's hash in records, in bytes.
const keyHashBytes = 16

// keyHash returns the hash that stands for a team's idempotency key in the log,
// which never holds the key itself. It returns "" for an empty key.
func keyHash(team ident.TeamID, key string) jobs.KeyHash {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return jobs.KeyHash(base64.RawURLEncoding.EncodeToString(sum[:keyHashBytes]))
}

// claimBook holds the requests that run under a claim of this host.
type claimBook struct {
	running map[ident.TaskID]bool
}

func newClaimBook() claimBook { return claimBook{running: map[ident.TaskID]bool{}} }

// requestClaim is the proposal to record a caller's idempotency key in the log.
// The request may run only when the record is there.
type requestClaim struct {
	ev       RequestAdmitted
	answered bool // the caller has its answer; the request must not run
}

// claim proposes a record of the request's key to the zone's stream. The
// request runs only when the record has been read back: from then on a repeat
// of the key finds it, on any host and after any takeover.
func (e *Engine) claim(ev RequestAdmitted) {
	p := &requestClaim{ev: ev}
	if !e.Schedules() || e.draining {
		p.reject(e)
		return
	}
	e.propose(p, jobs.Record{Accepted: &jobs.Accepted{
		Job:         ev.Request.ID,
		Key:         keyHash(ev.Request.Team, ev.Key),
		Fingerprint: jobs.Fingerprint(ev.Fingerprint),
		Spec: work.Spec{
			Kind:          work.KindRequest,
			Team:          ev.Request.Team,
			Tasks:         1,
			NonIdempotent: true,
			MaxAttempts:   1,
			Service:       ev.Request.Service,
		},
		AcceptedAt: e.wall.UnixMilli(),
	}}, ev.Request.Deadline-claimMargin)
}

func (p *requestClaim) reject(e *Engine) {
	p.answered = true
	e.emit(RequestDone{
		ID:    p.ev.Request.ID,
		Cause: &request.RejectedError{Cause: request.CauseClaim, RetryAfter: time.Second},
	})
}

// effective runs the request. If the record came too late or the caller has
// been answered, it records the outcome "not run" instead.
func (p *requestClaim) effective(e *Engine, late bool) {
	id := p.ev.Request.ID
	e.claims.running[id] = true
	if p.answered || late {
		e.claimEnded(id, work.OutcomeNotRun)
		if !p.answered {
			p.reject(e)
		}
		return
	}
	e.stepRouter(p.ev.Request)
}

func (p *requestClaim) void(e *Engine, ev jobs.Void) {
	if p.answered {
		return
	}
	if ev.Reason == jobs.VoidKeyConflict {
		p.answered = true
		e.emit(RequestDone{ID: p.ev.Request.ID, Claim: &ClaimError{Job: ev.Job, Conflict: true, Outcome: work.OutcomeNotRun}})
		return
	}
	p.reject(e)
}

// undecided rejects the request as not run. Its record may still appear, but
// the request is never started after this, so the answer remains correct.
func (p *requestClaim) undecided(e *Engine) { p.reject(e) }

// existing answers a repeat of the key with the state of its first use.
func (p *requestClaim) existing(e *Engine, job ident.JobID) {
	if p.answered {
		return
	}
	claim := &ClaimError{Job: job, Outcome: work.OutcomeUnknown, Running: true}
	if first := e.owner.State().Job(job); first != nil && first.Ended {
		claim.Running = false
		claim.Outcome = first.Outcome
	}
	p.answered = true
	e.emit(RequestDone{ID: p.ev.Request.ID, Claim: claim})
}

// claimAnswered records that a claimed request ran.
func (e *Engine) claimAnswered(id ident.TaskID) { e.claimEnded(id, work.OutcomeRan) }

// claimEnded records the outcome of a claimed request. If this host fails before
// the record is in the log, the next owner records the outcome as unknown.
func (e *Engine) claimEnded(id ident.TaskID, outcome work.Outcome) {
	if !e.claims.running[id] {
		return
	}
	delete(e.claims.running, id)
	e.propose(&jobEnding{done: JobDone{Job: id, Outcome: outcome}}, jobs.Record{JobEnded: &jobs.JobEnded{
		Job:     id,
		Outcome: outcome,
		Keep:    e.opts.KeepJobs.Milliseconds(),
	}}, 0)
}
