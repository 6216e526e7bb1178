package faultmatrix

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Pace and shape of the load of a cell.
const (
	requestEvery    = 40 * time.Millisecond
	jobEvery        = 400 * time.Millisecond
	requestDeadline = 4 * time.Second
	jobDeadline     = 3 * time.Second
	repeatAfter     = 700 * time.Millisecond
	maxRepeats      = 4
	oldKeyShare     = 3  // one request in so many still comes with a withdrawn key
	cancelShare     = 10 // one job in so many is cancelled by its caller
)

// load is the callers.
type load struct {
	w       *World
	running bool

	jobsRunning bool
	n           int

	probes    []*RequestRecord // sent when everything is well again
	jobProbes []*JobRecord
}

func newLoad(w *World) *load { return &load{w: w} }

func (l *load) start() {
	l.running = true
	l.jobsRunning = true
	l.requests()
	l.jobs()
}

func (l *load) stop() { l.running = false }

func (l *load) serviceTime() time.Duration {
	return 20*time.Millisecond + time.Duration(l.w.rng.Int64N(int64(100*time.Millisecond)))
}

func (l *load) requests() {
	if !l.running {
		return
	}
	l.request()
	l.w.After(requestEvery, l.requests)
}

// request sends one request: a fifth of them non-idempotent, half of those with
// the caller's own key.
func (l *load) request() {
	l.n++
	rec := &RequestRecord{Sub: l.n, Team: teams[l.n%len(teams)], Secret: l.w.ops.key(teams[l.n%len(teams)])}
	if old, ok := l.w.ops.old[rec.Team]; ok && l.n%oldKeyShare == 0 {
		rec.Secret = old
	}
	rec.NonIdempotent = l.n%5 == 0
	if l.n%10 == 0 {
		rec.Key = fmt.Sprintf("key-%d", l.n)
	}
	l.send(rec, 0)
}

// send hands a request to a host, as the platform's balancer would.
func (l *load) send(rec *RequestRecord, repeats int) {
	h := l.pick(rec)
	if h == nil {
		return // no process listens anywhere; nothing was sent
	}
	try := *rec
	try.Host = h.holder
	try.SentAt = l.w.Now()
	l.w.hist.Requests = append(l.w.hist.Requests, &try)
	deadline := l.w.Now() + requestDeadline
	l.w.deliver(h, placeOf(h.zone), StepAdmit, func() {
		h.wake(func() { h.admit(&try, deadline) })
	})
	if rec.Key != "" {
		l.w.After(repeatAfter, func() { l.repeat(rec, &try, repeats) })
	}
}

// repeat sends a keyed request again until its caller knows what became of it.
func (l *load) repeat(rec, try *RequestRecord, repeats int) {
	if try.Told == work.OutcomeRan || repeats == maxRepeats {
		return
	}
	l.send(rec, repeats+1)
}

// pick chooses any live host; for a keyed request, the owner of its home
// zone's stream.
func (l *load) pick(rec *RequestRecord) *host {
	if rec.Key != "" {
		return l.w.scheduler(zones[rec.Sub/10%len(zones)])
	}
	var all []*host
	for _, zone := range zones {
		all = append(all, l.w.liveIn(zone)...)
	}
	if len(all) == 0 {
		return nil
	}
	return all[l.w.rng.IntN(len(all))]
}

// admit is the edge of a host: it checks the key and mints the identifier.
func (h *host) admit(rec *RequestRecord, deadline time.Duration) {
	if h.state == nil {
		rec.tell(callEnd{outcome: work.OutcomeNotRun})
		return
	}
	team, err := h.state.Authenticate(rec.Secret, h.w.wall())
	if err != nil {
		rec.tell(callEnd{outcome: work.OutcomeNotRun})
		return
	}
	if !rec.ID.IsZero() {
		return // a doubled message; the host has this very call already
	}
	rec.ID = h.mint()
	rec.Admitted = true
	rec.AdmittedAt = h.w.Now()
	rec.As = team
	rec.Config = h.state.Offset()
	ev := engine.RequestAdmitted{
		Request: request.Admitted{
			ID: rec.ID, Team: team, Service: service, Deadline: h.now() + deadline - h.w.Now(), NonIdempotent: rec.NonIdempotent,
		},
		Key: rec.Key, Fingerprint: rec.Key,
	}
	h.take(ev, deadline, func(e callEnd) { h.endRequest(rec, e) })
}

// endRequest writes down the end that the host decided, and sends it back.
func (h *host) endRequest(rec *RequestRecord, e callEnd) {
	rec.end(h.w, e)
	told := false
	h.w.deliver(h, placeOf(h.zone), StepReturn, func() {
		if !told {
			told = true
			rec.tell(e)
		}
	})
}

func (l *load) jobs() {
	if !l.jobsRunning {
		return
	}
	l.job(zones[l.n%len(zones)])
	l.w.After(jobEvery, l.jobs)
}

// job hands in a durable job: plain, all-at-once or never to be repeated.
func (l *load) job(zone ident.Zone) *JobRecord {
	l.n++
	rec := &JobRecord{Sub: l.n, Zone: zone, Key: fmt.Sprintf("job-%d", l.n), Spec: work.Spec{
		Kind: work.KindBatch, Team: teams[l.n%len(teams)], Name: "job", Tasks: 1 + l.n%2,
		Need: resource.Vector{MilliCPU: 500, MemoryMiB: 256},
		Run:  time.Second + time.Duration(l.w.rng.Int64N(int64(2*time.Second))), MaxAttempts: 5,
	}}
	switch l.n % 4 {
	case 0:
		rec.Spec.NonIdempotent, rec.Spec.MaxAttempts = true, 1
	case 1:
		rec.Spec.Kind, rec.Spec.Tasks = work.KindGang, 2
	}
	l.w.hist.Jobs = append(l.w.hist.Jobs, rec)
	l.submit(rec, 0)
	return rec
}

// submit sends a job to its zone's scheduler, and again under the same key
// until it is known to be accepted.
func (l *load) submit(rec *JobRecord, repeats int) {
	if h := l.w.scheduler(rec.Zone); h != nil {
		l.w.deliver(h, placeOf(h.zone), StepAdmit, func() { h.wake(func() { h.submit(rec) }) })
	}
	l.w.After(jobDeadline+repeatAfter, func() {
		if !rec.Accepted && repeats < maxRepeats {
			l.submit(rec, repeats+1)
		}
	})
	if rec.Sub%cancelShare == 0 && repeats == 0 {
		l.w.After(jobDeadline, func() { l.cancel(rec) })
	}
}

func (h *host) submit(rec *JobRecord) {
	id := h.mint()
	rec.IDs = append(rec.IDs, id)
	h.w.reached(StepAdmit, h, "")
	h.step(engine.JobSubmitted{
		Call: h.ask(func(v any) { rec.answered(h, id, v.(engine.JobAnswered)) }),
		ID:   id, Key: rec.Key, Fingerprint: rec.Key, Spec: rec.Spec, Deadline: h.now() + jobDeadline,
	})
}

// cancel withdraws a job at its zone's scheduler.
func (l *load) cancel(rec *JobRecord) {
	h := l.w.scheduler(rec.Zone)
	if h == nil || !rec.Accepted {
		return
	}
	rec.Cancelled = true
	h.step(engine.JobCancelRequested{
		Call: h.ask(func(any) {}), Job: rec.Job, Team: rec.Spec.Team, Deadline: h.now() + jobDeadline,
	})
}

// probe sends work through every host when everything is well again.
func (l *load) probe() {
	for _, h := range l.w.hosts {
		if !h.alive {
			continue
		}
		for range probesEach {
			l.n++
			rec := &RequestRecord{Sub: l.n, Team: teams[0], Secret: l.w.ops.key(teams[0]), Host: h.holder, SentAt: l.w.Now()}
			l.probes = append(l.probes, rec)
			l.w.hist.Requests = append(l.w.hist.Requests, rec)
			h.admit(rec, l.w.Now()+requestDeadline)
		}
	}
	for _, zone := range zones {
		l.jobProbes = append(l.jobProbes, l.job(zone))
	}
}

// query asks the zone's scheduler how every accepted job stands.
func (l *load) query() {
	for _, rec := range l.w.hist.Jobs {
		h := l.w.scheduler(rec.Zone)
		if h == nil || !rec.Accepted {
			continue
		}
		h.step(engine.JobQueried{
			Call: h.ask(func(v any) { rec.Final, rec.FinalErr = v.(engine.JobAnswered).Info, v.(engine.JobAnswered).Err }),
			Job:  rec.Job, Team: rec.Spec.Team,
		})
	}
}
