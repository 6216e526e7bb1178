package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/problem"
)

// Headers of the callers' interface.
const (
	headerKey           = "Authorization"
	headerIdempotency   = "Idempotency-Key"
	headerNonIdempotent = "Non-Idempotent"
	headerTimeout       = "Request-Timeout" // a Go duration; at most the configured one
	bearer              = "Bearer"
)

// maxIdempotencyKey bounds the length of an idempotency key in bytes.
const maxIdempotencyKey = 255

// routes builds the callers' and operators' interface.
func (h *Host) routes() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = true
	r.NotFound = http.HandlerFunc(notFound)
	r.MethodNotAllowed = http.HandlerFunc(notFound)
	r.POST("/v1/jobs", h.submitJob)
	r.GET("/v1/jobs/:id", h.getJob)
	r.DELETE("/v1/jobs/:id", h.cancelJob)
	r.GET("/v1/jobs/:id/explain", h.explainJob)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		r.Handle(method, "/v1/services/:service/*path", h.serveRequest)
	}
	r.GET("/healthz", h.health)
	r.GET("/readyz", h.ready)
	r.Handler(http.MethodGet, "/metrics", h.tel.Handler())
	h.registerAdmin(r)
	return h.withTrace(r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.NotRun(problem.TypeNotFound, r.Method+" "+r.URL.Path+" is not part of the interface"))
}

// withTrace joins the caller's trace and opens the span of admission.
func (h *Host) withTrace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := h.tel.Tracer.Start(ctx, "admit", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if h.leaving() {
			// Otherwise a caller could send its next request on a connection
			// that the host is about to close.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// leaving reports whether the planned stop has begun.
func (h *Host) leaving() bool { return h.leaves.Err() != nil }

// authenticate returns the team of the presented key.
func (h *Host) authenticate(r *http.Request) (ident.TeamID, *problem.Problem) {
	state := h.config.Load()
	if state == nil {
		return "", problem.NotRun(problem.TypeNotReady, "this host has no configuration yet").After(time.Second)
	}
	if p := h.checkConfigAge(); p != nil {
		return "", p
	}
	scheme, key, _ := strings.Cut(r.Header.Get(headerKey), " ")
	if !strings.EqualFold(scheme, bearer) || key == "" {
		return "", problem.NotRun(problem.TypeUnauthorized, "present the team's key as \"Authorization: Bearer KEY\"")
	}
	team, err := state.Authenticate(key, time.Now())
	if err != nil {
		h.metrics.unauthorized.Inc(1)
		return "", problem.NotRun(problem.TypeUnauthorized, "the key is unknown or was withdrawn; ask an operator for a new one")
	}
	return team, nil
}

// checkConfigAge refuses when the settings say that configuration of this age
// is too old to serve with.
func (h *Host) checkConfigAge() *problem.Problem {
	limit := h.opts.Settings.Config.MaxAge
	if limit == 0 || h.configAge() <= limit {
		return nil
	}
	return problem.NotRun(problem.TypeNotReady,
		"this host cannot reach the platform's log or a peer that can, and its configuration is older than the settings allow").
		After(h.opts.Settings.Config.Poll)
}

// serveRequest is the request path.
func (h *Host) serveRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	h.metrics.requests.Inc(1)
	team, p := h.authenticate(r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	c, p := h.readCall(w, r, params, team)
	if p != nil {
		problem.Write(w, p)
		return
	}
	defer h.bodies.release(team, int64(cap(c.body)))
	h.answerCall(w, r.Context(), c)
}

// answerCall runs c where its idempotency key belongs, or here, and writes
// its end.
func (h *Host) answerCall(w http.ResponseWriter, ctx context.Context, c *call) {
	started := h.now()
	p, cut := h.route(ctx, c, &httpSink{w: w, until: h.started.Add(c.deadline)})
	h.metrics.latency.RecordDuration(h.now() - started)
	switch {
	case cut != nil:
		// Part of the answer went out. Closing the connection is the only way
		// left to tell the caller that it is not whole.
		h.metrics.cut.Inc(1)
		panic(http.ErrAbortHandler)
	case p != nil:
		h.metrics.refused(p)
		problem.Write(w, p)
	default:
		h.metrics.answered.Inc(1)
	}
}

// readCall checks a request and reads its body.
func (h *Host) readCall(w http.ResponseWriter, r *http.Request, params httprouter.Params, team ident.TeamID) (*call, *problem.Problem) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, malformed("protocol", r.Proto, "HTTP/1.1 or later: HTTP/1.0 cannot tell a cut answer from a whole one")
	}
	timeout, p := h.requestTimeout(r)
	if p != nil {
		return nil, p
	}
	key := r.Header.Get(headerIdempotency)
	if len(key) > maxIdempotencyKey {
		return nil, malformed(headerIdempotency, "", "at most 255 bytes")
	}
	nonIdempotent, p := h.nonIdempotent(r)
	if p != nil {
		return nil, p
	}
	body, p := h.readBody(w, r, team)
	if p != nil {
		return nil, p
	}
	return &call{
		id:            h.mint(h.zone),
		team:          team,
		service:       ident.ServiceID(params.ByName("service")),
		method:        r.Method,
		path:          requestPath(r, params),
		header:        callerHeader(r.Header),
		body:          body,
		deadline:      h.now() + timeout,
		nonIdempotent: nonIdempotent,
		key:           key,
	}, nil
}

func requestPath(r *http.Request, params httprouter.Params) string {
	path := params.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// callerHeader drops what is meant for this system, the key above all: an
// upstream must not learn it.
func callerHeader(src http.Header) http.Header {
	header := passHeader(src)
	header.Del(headerKey)
	header.Del(headerTimeout)
	return header
}

func (h *Host) requestTimeout(r *http.Request) (time.Duration, *problem.Problem) {
	limit := h.opts.Settings.Limits.RequestTimeout
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return limit, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, malformed(headerTimeout, text, "a positive duration such as 5s")
	}
	return min(timeout, limit), nil
}

// nonIdempotent reads the caller's mark. Without one, methods that HTTP
// defines as idempotent count as such and POST and PATCH do not: running a
// request twice that should run once is the worse mistake.
func (h *Host) nonIdempotent(r *http.Request) (bool, *problem.Problem) {
	switch text := r.Header.Get(headerNonIdempotent); text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return r.Method == http.MethodPost || r.Method == http.MethodPatch, nil
	default:
		return false, malformed(headerNonIdempotent, text, "true or false")
	}
}
