package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/problem"
)

// confirmTimeout is how long a confirmation waits to be folded here.
const confirmTimeout = 9 * time.Second

// operatorBackend answers operators. It implements admin.Backend.
type operatorBackend struct {
	h *Host
}

func (h *Host) registerAdmin(r *httprouter.Router) {
	admin.New(&operatorBackend{h: h}, h.opts.Settings.Operators).Register(r)
}

func (b *operatorBackend) state() (*fleet.State, error) {
	if state := b.h.config.Load(); state != nil {
		return state, nil
	}
	return nil, problem.NotRun(problem.TypeNotReady, "this host has no configuration yet").After(time.Second)
}

// Plan implements admin.Backend.
func (b *operatorBackend) Plan(ctx context.Context, operator string, intent fleet.Intent) (fleet.Plan, error) {
	state, err := b.state()
	if err != nil {
		return fleet.Plan{}, err
	}
	return fleet.MakePlan(state, intent, operator, time.Now().UTC(), &impact{survey: b.h.inspect(ctx)})
}

// Confirm implements admin.Backend. An append whose answer was lost is settled
// by reading: the record is folded here within the time, or the outcome stays
// unknown and a second confirmation is harmless.
func (b *operatorBackend) Confirm(ctx context.Context, operator string, plan fleet.Plan) (admin.Confirmation, error) {
	state, err := b.state()
	if err != nil {
		return admin.Confirmation{}, err
	}
	now := time.Now().UTC()
	if err := plan.Check(state, operator, now); err != nil {
		return admin.Confirmation{}, err
	}
	data, err := fleet.EncodeChange(plan.Change(operator, now))
	if err != nil {
		return admin.Confirmation{}, err
	}
	folded := b.h.history.await(plan.ID)
	defer b.h.history.forget(plan.ID)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err = b.h.opts.Log.Append(ctx, engine.ConfigStream, [][]byte{data})
	if err != nil && !uncertain(err) {
		return admin.Confirmation{}, problem.NotRun(problem.TypeLogDown, "the change was not made: "+err.Error()).After(time.Second)
	}
	select {
	case result := <-folded:
		return confirmation(plan.ID, result)
	case <-ctx.Done():
		return admin.Confirmation{}, problem.Unknown(problem.TypeLogDown,
			"the change may or may not be made; confirming the same plan again is harmless")
	}
}

func uncertain(err error) bool {
	var u *ports.UncertainError
	return errors.As(err, &u)
}

func confirmation(plan fleet.PlanID, r fleet.Result) (admin.Confirmation, error) {
	switch r.Status {
	case fleet.StatusRejected:
		return admin.Confirmation{}, r.Reason
	case fleet.StatusDuplicate:
		return admin.Confirmation{Plan: plan, Offset: r.First, Already: true}, nil
	}
	return admin.Confirmation{Plan: plan, Offset: r.Offset}, nil
}

// History implements admin.Backend.
func (b *operatorBackend) History(_ context.Context, limit int) ([]admin.HistoryEntry, error) {
	return b.h.history.newest(limit), nil
}

// Explain implements admin.Backend.
func (b *operatorBackend) Explain(ctx context.Context, job ident.JobID) (admin.Explanation, error) {
	body, p := b.h.runJobCall(ctx, jobCall{verb: verbExplain, jobText: job.String(), deadline: b.h.now() + jobTimeout})
	if p != nil {
		return admin.Explanation{}, p
	}
	var reply jobReplyBody
	if err := json.Unmarshal(body, &reply); err != nil {
		return admin.Explanation{}, problem.Unknown(problem.TypeInternal, err.Error())
	}
	return admin.Explanation{
		Job:     job,
		State:   string(reply.State),
		Team:    reply.Team,
		Kind:    reply.Kind,
		Outcome: reply.Outcome,
		Words:   []string{reply.Words},
	}, nil
}

// Keys implements admin.Backend.
func (b *operatorBackend) Keys(context.Context) ([]admin.KeyStatus, error) {
	state, err := b.state()
	if err != nil {
		return nil, err
	}
	return admin.KeysOf(state, time.Now().UTC()), nil
}

// loadFacts returns the last picture of the engine.
func (h *Host) loadFacts() engine.Facts {
	if f := h.facts.Load(); f != nil {
		return *f
	}
	return engine.Facts{}
}

// configAge is how long ago the configuration was known to be the newest.
func (h *Host) configAge() time.Duration { return h.loadFacts().ConfigAge }

// health answers whether the process runs.
func (h *Host) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("ok\n"))
}

// ready answers whether the platform's balancer should send callers here.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch f := h.loadFacts(); {
	case f.Draining:
		problem.Write(w, problem.NotRun(problem.TypeStopping, "this host is stopping"))
	case h.config.Load() == nil:
		problem.Write(w, problem.NotRun(problem.TypeNotReady, "this host has no configuration yet").After(time.Second))
	default:
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte("ready\n"))
	}
}
