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

// claimMargin is how long before a request's deadline its claim must be in the
// log, so that there is time left to run it.
const claimMargin = 200 * time.Millisecond

// keyHashBytes is the length of a key's hash in records.
const keyHashBytes = 16

// keyHash names a team's idempotency key in the log, which never holds the key
// itself. An empty key has no hash.
func keyHash(team ident.TeamID, key string) jobs.KeyHash {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return jobs.KeyHash(base64.RawURLEncoding.EncodeToString(sum[:keyHashBytes]))
}

// claimBook knows the requests that run under a claim of this host.
type claimBook struct {
	running map[ident.TaskID]bool
}

func newClaimBook() claimBook { return claimBook{running: map[ident.TaskID]bool{}} }

// requestClaim is a caller's idempotency key on its way into the log, before
// its request may run.
type requestClaim struct {
	ev        RequestAdmitted
	abandoned bool // the caller was told "not run"
}

// claim puts the key of a request into the zone's stream. The request runs
// only when the record has been read back: a repeat of the key, on any host
// and after any takeover, then finds it.
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
	p.abandoned = true
	e.emit(RequestDone{
		ID:    p.ev.Request.ID,
		Cause: &request.RejectedError{Cause: request.CauseClaim, RetryAfter: time.Second},
	})
}

// effective runs the request, or gives the key up again if its caller has been
// told meanwhile that it did not run.
func (p *requestClaim) effective(e *Engine, late bool) {
	id := p.ev.Request.ID
	e.claims.running[id] = true
	if p.abandoned || late {
		e.claimEnded(id, work.OutcomeNotRun)
		if !p.abandoned {
			p.reject(e)
		}
		return
	}
	e.stepRouter(p.ev.Request)
}

func (p *requestClaim) void(e *Engine, ev jobs.Void) {
	if p.abandoned {
		return
	}
	if ev.Reason == jobs.VoidKeyConflict {
		p.abandoned = true
		e.emit(RequestDone{ID: p.ev.Request.ID, Claim: &ClaimError{Job: ev.Job, Conflict: true, Outcome: work.OutcomeNotRun}})
		return
	}
	p.reject(e)
}

// undecided refuses the request for good. Its record may still appear; since
// the request is never started after this, "not run" stays true.
func (p *requestClaim) undecided(e *Engine) { p.reject(e) }

// existing answers a repeat of the key with what became of its first use.
func (p *requestClaim) existing(e *Engine, job ident.JobID) {
	if p.abandoned {
		return
	}
	claim := &ClaimError{Job: job, Outcome: work.OutcomeUnknown, Running: true}
	if first := e.owner.State().Job(job); first != nil && first.Ended {
		claim.Running = false
		claim.Outcome = first.Outcome
	}
	p.abandoned = true
	e.emit(RequestDone{ID: p.ev.Request.ID, Claim: claim})
}

// claimAnswered records that a claimed request ran.
func (e *Engine) claimAnswered(id ident.TaskID) { e.claimEnded(id, work.OutcomeRan) }

// claimEnded records the outcome of a claimed request. If the record is lost
// with this host, its successor records the outcome as unknown.
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
