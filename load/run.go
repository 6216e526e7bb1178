package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/standin"
)

// Limits of the client.
const (
	dialTimeout     = 5 * time.Second
	idleConnTimeout = 30 * time.Second
	auditTimeout    = 5 * time.Second
	// grace is how long an answer is awaited beyond its deadline, so that a
	// late answer is told from none.
	grace = 2 * time.Second
)

// operation is one arrival.
type operation struct {
	number uint64
	kind   Kind
	host   string
	key    string
	due    time.Time
}

// generator sends operations and collects what becomes of them.
type generator struct {
	opts    Options
	client  *http.Client
	rec     *recorder
	checker *checker
	slots   chan struct{} // one token for each operation at once
	start   time.Time     // of the arrivals
}

// Run sends the load and returns when every operation has ended. The error is
// an *OptionError; a system that answers badly is no error but shows in the
// report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	g := &generator{
		opts: opts, client: newClient(opts), rec: newRecorder(), checker: newChecker(),
		slots: make(chan struct{}, opts.InFlight),
	}
	defer g.client.CloseIdleConnections()
	g.arrive(ctx)
	report := g.rec.report(opts)
	if opts.Audit != "" {
		addAudit(ctx, report, opts.Audit)
	}
	return report, nil
}

func newClient(opts Options) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     opts.Connections,
		MaxIdleConnsPerHost: opts.Connections,
		MaxIdleConns:        opts.Connections * len(opts.Hosts),
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// arrive sends operations at the moments of a Poisson process and waits for
// their ends.
func (g *generator) arrive(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.opts.Seed, 0))
	var wg conc.WaitGroup
	defer wg.Wait()
	g.start = time.Now()
	next := g.start
	for number := uint64(0); ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / g.opts.Rate * float64(time.Second)))
		kind := g.opts.Mix.pick(random.IntN(g.opts.Mix.total()))
		if next.Sub(g.start) > g.opts.Time || !sleepUntil(ctx, next) {
			return
		}
		op := operation{
			number: number, kind: kind, due: next,
			host: g.opts.Hosts[number%uint64(len(g.opts.Hosts))],
			key:  g.opts.Keys[(number/uint64(len(g.opts.Hosts)))%uint64(len(g.opts.Keys))],
		}
		select {
		case g.slots <- struct{}{}:
			g.rec.offered(kind, true, time.Since(next))
			wg.Go(func() { g.run(ctx, op) })
		default:
			g.rec.offered(kind, false, 0)
		}
	}
}

// sleepUntil waits for a moment. It reports false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	left := time.Until(at)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// run carries out one operation.
func (g *generator) run(ctx context.Context, op operation) {
	defer func() { <-g.slots }()
	carry, deadline := g.request, g.opts.Deadline
	if op.kind.durable() {
		carry, deadline = g.job, g.opts.JobDeadline
	}
	res := carry(ctx, op)
	res.within = time.Since(g.start) <= g.opts.Time
	g.rec.done(op.kind, res, deadline)
}

// addAudit asks the stand-in platform what really ran.
func addAudit(ctx context.Context, report *Report, addr string) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	counts, err := fetchAudit(ctx, addr)
	if err != nil {
		report.AuditErr = err.Error()
		return
	}
	report.Audit = &counts
}

func fetchAudit(ctx context.Context, addr string) (standin.Counts, error) {
	var counts standin.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/audit", nil)
	if err != nil {
		return counts, err
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, err
	}
	defer func() { _ = answer.Body.Close() }()
	return counts, json.NewDecoder(answer.Body).Decode(&counts)
}
