package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/settings"
)

// Paths of the operators' interface.
const (
	PathPlan    = "/v1/admin/plan"
	PathConfirm = "/v1/admin/confirm"
	PathStatus  = "/v1/admin/status"
	PathTeams   = "/v1/admin/teams"
	PathKeys    = "/v1/admin/keys"
	PathWorkers = "/v1/admin/workers"
	PathHosts   = "/v1/admin/hosts"
	PathHistory = "/v1/admin/history" // query "limit"
	PathExplain = "/v1/admin/explain" // followed by "/" and the job

	// LimitParam is the query parameter of PathHistory: the greatest number of
	// entries wanted.
	LimitParam = "limit"
)

const (
	maxDocument  = 2 << 20 // bytes of an intent or a plan
	historyLimit = 100     // entries, if the operator names no limit
	historyMost  = 1000    // entries
)

// Handler serves the operators' interface.
type Handler struct {
	backend   Backend
	operators []settings.Operator
}

// New returns a Handler that answers the given operators from backend.
func New(backend Backend, operators []settings.Operator) *Handler {
	return &Handler{backend: backend, operators: operators}
}

// Register adds the operators' paths to a router.
func (h *Handler) Register(router *httprouter.Router) {
	router.POST(PathPlan, h.operator(h.plan))
	router.POST(PathConfirm, h.operator(h.confirm))
	router.GET(PathStatus, show(h, h.backend.Status))
	router.GET(PathTeams, show(h, h.backend.Teams))
	router.GET(PathKeys, show(h, h.backend.Keys))
	router.GET(PathWorkers, show(h, h.backend.Workers))
	router.GET(PathHosts, show(h, h.backend.Hosts))
	router.GET(PathHistory, h.operator(h.history))
	router.GET(PathExplain+"/:job", h.operator(h.explain))
}

// call is one authenticated call of an operator.
type call struct {
	operator string
	request  *http.Request
	params   httprouter.Params
}

// operator authenticates the caller, then writes what handle answers.
func (h *Handler) operator(handle func(http.ResponseWriter, call) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		name, ok := h.authenticate(r)
		if !ok {
			problem.Write(w, problem.NotRun(problem.TypeUnauthorized, "operators present their token as a bearer token"))
			return
		}
		answer, err := handle(w, call{operator: name, request: r, params: params})
		if err != nil {
			problem.Write(w, problemOf(err))
			return
		}
		write(w, answer)
	}
}

// authenticate returns the name of the operator whose token the request
// carries. Every operator's hash is compared, in constant time, so that the
// time taken tells neither a hash nor which operator it belongs to.
func (h *Handler) authenticate(r *http.Request) (string, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	name, ok := "", false
	for _, operator := range h.operators {
		if subtle.ConstantTimeCompare(hash[:], operator.TokenHash[:]) == 1 {
			name, ok = operator.Name, true
		}
	}
	return name, ok
}

// read decodes the body strictly into v.
func read(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocument))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return problem.NotRun(problem.TypeTooLarge, "at most 2 MiB are read")
	}
	if err != nil {
		return problem.NotRun(problem.TypeMalformed, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return problem.NotRun(problem.TypeMalformed, "something follows the JSON value")
	}
	return nil
}

// write sends a whole answer as JSON.
func write(w http.ResponseWriter, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		problem.Write(w, problem.Unknown(problem.TypeInternal, "the answer cannot be rendered: "+err.Error()))
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body) // an operator who has gone away needs no answer
}

func (h *Handler) plan(w http.ResponseWriter, c call) (any, error) {
	var intent fleet.Intent
	if err := read(w, c.request, &intent); err != nil {
		return nil, err
	}
	return h.backend.Plan(c.request.Context(), c.operator, intent)
}

func (h *Handler) confirm(w http.ResponseWriter, c call) (any, error) {
	var plan fleet.Plan
	if err := read(w, c.request, &plan); err != nil {
		return nil, err
	}
	return h.backend.Confirm(c.request.Context(), c.operator, plan)
}

func (h *Handler) history(_ http.ResponseWriter, c call) (any, error) {
	limit := historyLimit
	if text := c.request.URL.Query().Get(LimitParam); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > historyMost {
			return nil, problem.NotRun(problem.TypeMalformed, "limit is a whole number from 1 to 1000")
		}
		limit = n
	}
	return h.backend.History(c.request.Context(), limit)
}

func (h *Handler) explain(_ http.ResponseWriter, c call) (any, error) {
	job, err := ident.ParseTaskID(c.params.ByName("job"))
	if err != nil {
		return nil, problem.NotRun(problem.TypeMalformed, err.Error())
	}
	return h.backend.Explain(c.request.Context(), job)
}
