package faultmatrix

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/work"
)

// RequestRecord is one try of a caller to have a request served.
type RequestRecord struct {
	Sub           int // repeats of one submission share it
	Team          ident.TeamID
	Secret        string // the team's key
	Key           string // the caller's idempotency key
	NonIdempotent bool
	Host          ident.Holder
	SentAt        time.Duration

	ID         ident.TaskID
	Admitted   bool
	AdmittedAt time.Duration
	As         ident.TeamID // whose work it was taken for
	Config     ports.Offset // in force at its admission

	Ended   bool // the host decided
	EndedAt time.Duration
	Outcome work.Outcome
	Cause   request.Cause
	Body    string
	Told    work.Outcome // what reached the caller; zero for nothing
}

func (r *RequestRecord) end(w *World, e callEnd) {
	if r.Ended {
		w.hist.broken(PromiseWhole, "%v ended twice", r.ID)
	}
	r.Ended, r.EndedAt, r.Outcome, r.Cause, r.Body = true, w.Now(), e.outcome, e.cause, e.body
	if e.outcome == work.OutcomeRan && e.claim == nil && e.body != r.ID.String() {
		w.hist.broken(PromiseWhole, "%v got the answer %q", r.ID, e.body)
	}
}

func (r *RequestRecord) tell(e callEnd) { r.Told = e.outcome }

// JobRecord is one durable job of a caller.
type JobRecord struct {
	Sub  int
	Zone ident.Zone
	Key  string
	Spec work.Spec
	IDs  []ident.JobID // minted for its tries

	Accepted  bool
	Job       ident.JobID
	NotRun    []ident.JobID // tries that were refused as "not run"
	Cancelled bool
	Done      int // times its end was told
	Outcome   work.Outcome
	Final     engine.JobInfo
	FinalErr  error
}

// answered takes in the answer to one try.
func (r *JobRecord) answered(h *host, id ident.JobID, ans engine.JobAnswered) {
	if ans.Err == nil {
		if r.Accepted && r.Job != ans.Info.Job {
			h.w.hist.broken(PromiseOnce, "key %s was accepted as %v and as %v", r.Key, r.Job, ans.Info.Job)
		}
		r.Accepted = true
		r.Job = ans.Info.Job
		return
	}
	if outcomeOf(ans.Err) == work.OutcomeNotRun {
		r.NotRun = append(r.NotRun, id)
	}
}

// outcomeOf tells what a caller may conclude of an error.
func outcomeOf(err error) work.Outcome {
	switch err := err.(type) {
	case *engine.JobRefusedError:
		return err.Outcome()
	case *engine.ClaimError:
		return err.Outcome
	}
	return work.OutcomeUnknown
}

// History is what happened in a cell, as callers and operators saw it. What
// ran on the workers is in the audit.
type History struct {
	Requests []*RequestRecord
	Jobs     []*JobRecord
	Broken   []Violation
	Notes    []string

	configs     []configSeen
	limits      []limitSet
	withdrawals map[string]time.Duration
	leaving     map[ident.WorkerID]time.Duration
	drains      []*drainSeen
}

type configSeen struct {
	at     time.Duration
	holder ident.Holder
	offset ports.Offset
}

type limitSet struct {
	at    time.Duration
	team  ident.TeamID
	limit int64
}

type drainSeen struct {
	host *host
	at   time.Duration
	done bool
}

func (h *History) broken(p Promise, format string, args ...any) {
	h.Broken = append(h.Broken, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

func (h *History) note(at time.Duration, who ident.Holder, text string) {
	h.Notes = append(h.Notes, fmt.Sprintf("%v %v %s", at, who, text))
}

func (h *History) configured(at time.Duration, who ident.Holder, offset ports.Offset) {
	for i := len(h.configs) - 1; i >= 0; i-- {
		if h.configs[i].holder == who {
			if offset < h.configs[i].offset {
				h.broken(PromiseConfig, "%v went back from offset %d to %d", who, h.configs[i].offset, offset)
			}
			break
		}
	}
	h.configs = append(h.configs, configSeen{at, who, offset})
}

func (h *History) limit(at time.Duration, team ident.TeamID, limit int64) {
	h.limits = append(h.limits, limitSet{at, team, limit})
}

func (h *History) withdrawn(at time.Duration, secret string) {
	if h.withdrawals == nil {
		h.withdrawals = map[string]time.Duration{}
	}
	h.withdrawals[secret] = at
}

func (h *History) leaves(at time.Duration, worker ident.WorkerID) {
	if h.leaving == nil {
		h.leaving = map[ident.WorkerID]time.Duration{}
	}
	h.leaving[worker] = at
}

func (h *History) draining(at time.Duration, who *host) {
	h.drains = append(h.drains, &drainSeen{host: who, at: at})
}

func (h *History) drained(who *host) {
	for _, d := range h.drains {
		if d.host == who {
			d.done = true
		}
	}
	if len(who.calls) > 0 {
		h.broken(PromiseGraceful, "%v stopped with %d calls open", who.holder, len(who.calls))
	}
}

func (h *History) jobDone(cmd engine.JobDone) {
	for _, rec := range h.Jobs {
		if rec.Accepted && rec.Job == cmd.Job {
			rec.Done++
			rec.Outcome = cmd.Outcome
		}
	}
}
