package admin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/work"
)

// folded is a Backend whose stream is folded at once.
type folded struct {
	state *fleet.State
	lost  bool // answers of appends are lost
	limit int  // last asked of History
}

func (b *folded) Plan(_ context.Context, operator string, in fleet.Intent) (fleet.Plan, error) {
	return fleet.MakePlan(b.state, in, operator, time.Unix(0, 0), fleet.NoImpact{})
}

func (b *folded) Confirm(_ context.Context, operator string, p fleet.Plan) (Confirmation, error) {
	data, err := fleet.EncodeChange(p.Change(operator, time.Unix(0, 0)))
	if err != nil {
		return Confirmation{}, err
	}
	next, result, err := fleet.Apply(b.state, ports.Record{Offset: b.state.Offset() + 1, Data: data})
	if err != nil {
		return Confirmation{}, err
	}
	b.state = next
	if b.lost {
		return Confirmation{}, &ports.UncertainError{Op: "append"}
	}
	if result.Status == fleet.StatusRejected {
		return Confirmation{}, result.Reason
	}
	return Confirmation{Plan: p.ID, Offset: result.Offset, Already: result.Status == fleet.StatusDuplicate}, nil
}

func (b *folded) Status(context.Context) (Status, error) { return Status{Host: "a1"}, nil }
func (b *folded) Teams(context.Context) ([]TeamStatus, error) {
	return nil, &ports.UnavailableError{RetryAfter: 3 * time.Second}
}
func (b *folded) Keys(context.Context) ([]KeyStatus, error)       { return nil, nil }
func (b *folded) Workers(context.Context) ([]WorkerStatus, error) { return nil, nil }
func (b *folded) Hosts(context.Context) ([]HostStatus, error)     { return nil, context.Canceled }
func (b *folded) History(_ context.Context, limit int) ([]HistoryEntry, error) {
	b.limit = limit
	return nil, nil
}
func (b *folded) Explain(_ context.Context, job ident.JobID) (Explanation, error) {
	return Explanation{}, problem.NotRun(problem.TypeNotFound, "no job "+job.String())
}

// site is a served Backend with two operators, asha and bert, whose tokens are
// their names.
type site struct {
	t       *testing.T
	backend *folded
	router  *httprouter.Router
}

func newSite(t *testing.T) *site {
	s := &site{t: t, backend: &folded{state: fleet.Empty()}, router: httprouter.New()}
	operators := []settings.Operator{
		{Name: "asha", TokenHash: sha256.Sum256([]byte("asha"))},
		{Name: "bert", TokenHash: sha256.Sum256([]byte("bert"))},
	}
	New(s.backend, operators).Register(s.router)
	return s
}

// call sends a request and decodes the answer into out, if it is not nil.
func (s *site) call(method, path, token, body string, out any) int {
	s.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.router.ServeHTTP(w, r)
	if out == nil {
		return w.Code
	}
	if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
		s.t.Fatalf("%s %s: %v in %s", method, path, err, w.Body)
	}
	return w.Code
}

const wantGrants = `{"teams":[{"team":"grants","limit":5}]}`

// Story: a stranger, a caller's key, an empty token. None may plan, confirm or
// see anything.
func TestOnlyOperators(t *testing.T) {
	s := newSite(t)
	for _, path := range []string{PathStatus, PathTeams, PathKeys, PathWorkers, PathHosts, PathHistory, PathExplain + "/a.b.1.2"} {
		for _, token := range []string{"", "stranger", "ashabert"} {
			if got := s.call(http.MethodGet, path, token, "", nil); got != http.StatusUnauthorized {
				t.Errorf("GET %s as %q: %d", path, token, got)
			}
		}
	}
	for _, path := range []string{PathPlan, PathConfirm} {
		if got := s.call(http.MethodPost, path, "stranger", wantGrants, nil); got != http.StatusUnauthorized {
			t.Errorf("POST %s: %d", path, got)
		}
	}
}

// Story: one operator plans, nothing happens, a colleague confirms; a second
// confirmation changes nothing, and a plan that was made before is stale.
func TestPlanAndConfirm(t *testing.T) {
	s := newSite(t)
	var plan, late fleet.Plan
	s.call(http.MethodPost, PathPlan, "asha", wantGrants, &plan)
	s.call(http.MethodPost, PathPlan, "asha", strings.Replace(wantGrants, "5", "6", 1), &late)
	if len(s.backend.state.Teams()) != 0 || len(plan.Lines) != 1 {
		t.Fatalf("teams %v, plan %+v", s.backend.state.Teams(), plan)
	}
	body, _ := json.Marshal(plan)
	var first, second Confirmation
	s.call(http.MethodPost, PathConfirm, "bert", string(body), &first)
	s.call(http.MethodPost, PathConfirm, "asha", string(body), &second)
	if first.Already || !second.Already || first.Offset != 1 {
		t.Errorf("got %+v, %+v", first, second)
	}
	if by := s.backend.state.Recent()[0]; by.Planner != "asha" || by.Operator != "bert" {
		t.Errorf("recorded as %+v", by)
	}
	body, _ = json.Marshal(late)
	var p problem.Problem
	code := s.call(http.MethodPost, PathConfirm, "asha", string(body), &p)
	if code != http.StatusConflict || p.Type != problem.TypeStalePlan || p.Outcome != work.OutcomeNotRun || !strings.Contains(p.Detail, "by bert") {
		t.Errorf("got %d %+v", code, p)
	}
}

// Story: the log takes a confirmation and its answer is lost. The operator must
// read that the change may be in force, not that it failed.
func TestLostAnswer(t *testing.T) {
	s := newSite(t)
	var plan fleet.Plan
	s.call(http.MethodPost, PathPlan, "asha", wantGrants, &plan)
	body, _ := json.Marshal(plan)
	s.backend.lost = true
	var p problem.Problem
	s.call(http.MethodPost, PathConfirm, "asha", string(body), &p)
	if p.Outcome != work.OutcomeUnknown || p.Type != problem.TypeLogDown {
		t.Errorf("got %+v", p)
	}
	s.backend.lost = false
	var again Confirmation
	if s.call(http.MethodPost, PathConfirm, "asha", string(body), &again); !again.Already {
		t.Errorf("got %+v", again)
	}
}

func TestProblems(t *testing.T) {
	s := newSite(t)
	cases := []struct {
		method, path, body string
		status             int
		class              problem.Type
		outcome            work.Outcome
	}{
		{"POST", PathPlan, `{"team":[]}`, 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"POST", PathPlan, `{} {}`, 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"POST", PathPlan, `{}`, 422, problem.TypeRefused, work.OutcomeNotRun},
		{"POST", PathPlan, `{"keys":[{"action":"withdraw","key":"k"}]}`, 404, problem.TypeNotFound, work.OutcomeNotRun},
		{"POST", PathPlan, `{"teams":"` + strings.Repeat("x", maxDocument) + `"}`, 413, problem.TypeTooLarge, work.OutcomeNotRun},
		{"POST", PathConfirm, `{"plan":"x","ops":[{"op":"format-disk","args":{}}]}`, 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"POST", PathConfirm, `{"plan":"x","planner":"asha","ops":[{"op":"remove-team","args":{"team":"t"}}]}`, 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"GET", PathHistory + "?limit=0", "", 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"GET", PathExplain + "/nonsense", "", 400, problem.TypeMalformed, work.OutcomeNotRun},
		{"GET", PathExplain + "/a.a1.1.2", "", 404, problem.TypeNotFound, work.OutcomeNotRun},
		{"GET", PathTeams, "", 503, problem.TypeLogDown, work.OutcomeNotRun},
		{"GET", PathHosts, "", 500, problem.TypeInternal, work.OutcomeUnknown},
	}
	for _, c := range cases {
		var p problem.Problem
		code := s.call(c.method, c.path, "asha", c.body, &p)
		if code != c.status || p.Status != c.status || p.Type != c.class || p.Outcome != c.outcome {
			t.Errorf("%s %s %.60s: got %d %+v", c.method, c.path, c.body, code, p)
		}
	}
	if got := s.call(http.MethodGet, PathHistory+"?limit=7", "asha", "", nil); got != 200 || s.backend.limit != 7 {
		t.Errorf("history: %d with limit %d", got, s.backend.limit)
	}
}
