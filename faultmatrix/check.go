package faultmatrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// Promise is one of the things that must always hold.
type Promise string

// The promises, in the order of the brief, and that work goes on again.
const (
	PromiseCapacity Promise = "no worker over its size"
	PromiseOnePlace Promise = "no job in two places"
	PromiseTeam     Promise = "only for the key's team; withdrawn keys stop"
	PromiseLimit    Promise = "no team over its limit"
	PromiseWhole    Promise = "each caller its own whole answer"
	PromiseNotRun   Promise = "refused as not run never ran"
	PromiseOnce     Promise = "non-idempotent at most once"
	PromiseLeaving  Promise = "a leaving upstream gets nothing new"
	PromiseGraceful Promise = "a planned stop cuts off nothing"
	PromiseConfig   Promise = "configuration everywhere, never reverting"
	PromiseRecovery Promise = "accepted work is not lost and the fleet recovers"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// String renders the violation.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// Times within which the promises with "seconds" must hold.
const (
	configWithin  = 9 * time.Second
	leavingWithin = 4 * time.Second
	// lowerWithin is how long running tasks may exceed a lowered limit: the
	// change arrives, and tasks of at most 3 s end.
	lowerWithin = 12 * time.Second
)

// checker looks at a finished cell.
type checker struct {
	w    *World
	runs []standin.RunEvent // in order of time
	// healed is when the fault ended. Promises that need news are counted from
	// then on hosts that a fault kept from it.
	struck, healed time.Duration
	cutsAnswers    bool // the fault itself cuts answers
}

// check looks for broken promises over the whole history.
func (c *checker) check() []Violation {
	c.runs = c.w.audit.History()
	slices.SortStableFunc(c.runs, func(a, b standin.RunEvent) int { return int(a.At - b.At) })
	c.capacity()
	c.teams()
	c.limits()
	c.answers()
	c.notRun()
	c.records()
	c.once()
	c.leaving()
	c.graceful()
	c.config()
	c.recovery()
	return c.w.hist.Broken
}

func (c *checker) broken(p Promise, format string, args ...any) { c.w.hist.broken(p, format, args...) }

// by returns until when a promise made at a time must be kept.
func (c *checker) by(at, within time.Duration) time.Duration {
	if at+within > c.struck && at < c.healed {
		at = c.healed
	}
	return at + within
}

func (c *checker) capacity() {
	counts := c.w.audit.Counts()
	if counts.OverCapacity > 0 {
		c.broken(PromiseCapacity, "%d starts passed a worker's size", counts.OverCapacity)
	}
	if counts.Overlapped > 0 {
		c.broken(PromiseOnePlace, "%d tasks ran in two places at once", counts.Overlapped)
	}
}

// teams checks whose work was taken, and with which keys.
func (c *checker) teams() {
	owners := map[string]ident.TeamID{}
	for _, r := range c.w.hist.Requests {
		if !r.Admitted {
			continue
		}
		owners[r.ID.String()] = r.Team
		if r.As != r.Team {
			c.broken(PromiseTeam, "%v of team %s was taken for %s", r.ID, r.Team, r.As)
		}
		if at, ok := c.w.hist.withdrawals[r.Secret]; ok && r.AdmittedAt > c.by(at, configWithin) {
			c.broken(PromiseTeam, "%v was admitted at %v with a key withdrawn at %v", r.ID, r.AdmittedAt, at)
		}
	}
	for _, j := range c.w.hist.Jobs {
		for _, id := range j.IDs {
			owners[id.String()] = j.Spec.Team
		}
	}
	for _, run := range c.runs {
		if team, ok := owners[jobOf(run.ID)]; ok && team != run.Team {
			c.broken(PromiseTeam, "%s of team %s ran for %s", run.ID, team, run.Team)
		}
	}
}

// jobOf returns the identifier of the job or request that a task belongs to.
func jobOf(id string) string {
	job, _, _ := strings.Cut(id, "/")
	return job
}

// limits replays what ran and compares it with the limits in force.
func (c *checker) limits() {
	used := map[ident.TeamID]int64{}
	worst := map[ident.TeamID]bool{}
	for _, run := range c.runs {
		units := limitUnits(run)
		if run.End != "" {
			used[run.Team] -= units
			continue
		}
		used[run.Team] += units
		if limit := c.limitAt(run.Team, run.At); used[run.Team] > limit && !worst[run.Team] {
			worst[run.Team] = true
			c.broken(PromiseLimit, "team %s used %d units of %d at %v", run.Team, used[run.Team], limit, run.At)
		}
	}
}

// limitAt returns the highest limit that may still be in use at a time: the one
// in force, and those that were lowered a moment ago.
func (c *checker) limitAt(team ident.TeamID, at time.Duration) int64 {
	var highest int64
	sets := c.w.hist.limits
	for i, set := range sets {
		if set.team != team || set.at > at {
			continue
		}
		ended := false
		for _, later := range sets[i+1:] {
			ended = ended || later.team == team && c.by(later.at, lowerWithin) < at
		}
		if !ended {
			highest = max(highest, set.limit)
		}
	}
	return highest
}

// answers checks that every admitted request had exactly one end, as long as
// its host lived. Wrong and doubled answers are noted as they come.
func (c *checker) answers() {
	for _, r := range c.w.hist.Requests {
		if r.Admitted && !r.Ended {
			c.broken(PromiseWhole, "%v was admitted at %v and never ended", r.ID, r.AdmittedAt)
		}
		if r.Ended && !r.Outcome.Valid() {
			c.broken(PromiseWhole, "%v ended without an outcome", r.ID)
		}
	}
}

func (c *checker) notRun() {
	started := map[string]bool{}
	for _, run := range c.runs {
		started[jobOf(run.ID)] = true
	}
	for _, r := range c.w.hist.Requests {
		if r.Ended && r.Outcome == work.OutcomeNotRun && started[r.ID.String()] {
			c.broken(PromiseNotRun, "%v was refused as not run (%s) and ran", r.ID, r.Cause)
		}
	}
	for _, j := range c.w.hist.Jobs {
		for _, id := range j.NotRun {
			if started[id.String()] {
				c.broken(PromiseNotRun, "job %v was refused as not run and ran", id)
			}
		}
		if j.Accepted && j.Final.Outcome == work.OutcomeNotRun && started[j.Job.String()] {
			c.broken(PromiseNotRun, "job %v ended as not run and ran", j.Job)
		}
	}
}

// once counts runs by what callers see as one piece of work: their keys.
func (c *checker) once() {
	byKey := map[string]int{}
	for _, r := range c.w.hist.Requests {
		if r.Key != "" && r.Admitted {
			byKey[r.Key] += c.w.audit.Runs(r.ID.String())
		}
	}
	for _, key := range sortedKeys(byKey) {
		if byKey[key] > 1 {
			c.broken(PromiseOnce, "the request with key %s ran %d times", key, byKey[key])
		}
	}
	c.onceEach()
	attempts := map[string]map[string]bool{}
	for _, run := range c.runs {
		if run.Class == ports.ClassCompute {
			task := standin.JobTask(run.ID)
			if attempts[task] == nil {
				attempts[task] = map[string]bool{}
			}
			attempts[task][run.ID] = true
		}
	}
	for _, j := range c.w.hist.Jobs {
		c.onceJob(j, attempts)
	}
}

// replicaPrefix begins the identifiers of service replicas. A replica is
// started again under its name after its worker died; that it never runs in
// two places at once is checked with the others.
const replicaPrefix = "service:"

// onceEach checks that no attempt and no non-idempotent call ran twice.
func (c *checker) onceEach() {
	starts := map[string]int{}
	for _, run := range c.runs {
		if run.Once && run.End == "" && !strings.HasPrefix(run.ID, replicaPrefix) {
			starts[run.ID]++
		}
	}
	for _, id := range sortedKeys(starts) {
		if starts[id] > 1 {
			c.broken(PromiseOnce, "%s ran %d times", id, starts[id])
		}
	}
}

func (c *checker) onceJob(j *JobRecord, attempts map[string]map[string]bool) {
	ran := 0
	for _, id := range j.IDs {
		used := false
		for index := range j.Spec.Tasks {
			n := len(attempts[fmt.Sprintf("%v/%d", id, index)])
			used = used || n > 0
			if n > 1 && j.Spec.NonIdempotent {
				c.broken(PromiseOnce, "task %d of non-idempotent job %v had %d attempts that ran", index, id, n)
			}
		}
		if used {
			ran++
		}
	}
	if ran > 1 {
		c.broken(PromiseOnce, "the job with key %s ran under %d identifiers", j.Key, ran)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (c *checker) leaving() {
	for _, run := range c.runs {
		at, ok := c.w.hist.leaving[run.Worker]
		if ok && run.End == "" && run.At > c.by(at, leavingWithin) {
			c.broken(PromiseLeaving, "%s started at %v on %s, which is leaving since %v", run.ID, run.At, run.Worker, at)
		}
	}
}

func (c *checker) graceful() {
	for _, d := range c.w.hist.drains {
		if d.host.alive && !d.done {
			c.broken(PromiseGraceful, "%v never finished its planned stop", d.host.holder)
		}
		if !d.done || c.cutsAnswers {
			continue
		}
		for _, r := range c.w.hist.Requests {
			if r.Host == d.host.holder && r.Admitted && c.cutOff(r, d.at) {
				c.broken(PromiseGraceful, "%v was cut off (%s) while its host stopped", r.ID, r.Cause)
			}
		}
	}
}

// cutOff reports whether a request lost its answer before its own deadline.
func (c *checker) cutOff(r *RequestRecord, since time.Duration) bool {
	return r.Outcome == work.OutcomeUnknown && r.Cause != "" && r.EndedAt >= since && r.EndedAt < r.SentAt+requestDeadline
}

// config checks that every live host came to each offset in time.
func (c *checker) config() {
	newest := c.w.config().Offset()
	reached := map[ident.Holder]ports.Offset{}
	for _, seen := range c.w.hist.configs {
		reached[seen.holder] = seen.offset
	}
	for _, h := range c.w.hosts {
		if h.alive && reached[h.holder] != newest {
			c.broken(PromiseConfig, "%v is at offset %d of %d", h.holder, reached[h.holder], newest)
		}
	}
	for _, change := range c.w.ops.changes {
		due := c.by(change.at, configWithin)
		for _, h := range c.w.hosts {
			if h.booted < change.at && (h.alive || h.died > due) && !c.inForce(h.holder, change.offset, due) {
				c.broken(PromiseConfig, "%v did not have offset %d by %v", h.holder, change.offset, due)
			}
		}
	}
}

func (c *checker) inForce(holder ident.Holder, offset ports.Offset, due time.Duration) bool {
	return slices.ContainsFunc(c.w.hist.configs, func(s configSeen) bool {
		return s.holder == holder && s.offset >= offset && s.at <= due
	})
}

// recovery checks that accepted jobs ended, and that work sent after the fault
// was served.
func (c *checker) recovery() {
	for _, j := range c.w.hist.Jobs {
		switch {
		case !j.Accepted:
		case j.FinalErr != nil:
			c.broken(PromiseRecovery, "accepted job %v: %v", j.Job, j.FinalErr)
		case j.Final.State != engine.JobStateEnded:
			c.broken(PromiseRecovery, "accepted job %v of %s is %q at the end", j.Job, j.Spec.Team, j.Final.State)
		}
	}
	for _, r := range c.w.load.probes {
		if r.Told != work.OutcomeRan {
			c.broken(PromiseRecovery, "probe %d on %v ended as %v (%s)", r.Sub, r.Host, r.Outcome, r.Cause)
		}
	}
	for _, j := range c.w.load.jobProbes {
		if !j.Accepted {
			c.broken(PromiseRecovery, "the probe job of zone %s was not accepted", j.Zone)
		}
	}
}
