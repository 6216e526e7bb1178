package request

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/work"
)

// Limits accounts for the units of teams' upper limits that this host holds.
type Limits interface {
	// TryUse takes units for a task about to start and reports whether the host
	// held that many free.
	TryUse(team ident.TeamID, units int64) bool
	// Done returns the units of a task that ended.
	Done(team ident.TeamID, units int64)
}

// Options configures a Router. A zero limit or duration selects its default.
type Options struct {
	Zone       ident.Zone
	Limits     Limits
	Rand       *rand.Rand    // selects the first candidate worker; seeded by the caller
	MaxWaiting int           // waiting requests; default 512
	MaxTries   int           // sends of one request; default 3
	MaxHops    int           // forwards of one request; default 2
	PeerTTL    time.Duration // how long a peer's report is valid; default 3 s
	// ForwardedIDTTL is how long the ID of a forwarded request is kept. It must
	// be at least the maximum lifetime of a request, including its time on the
	// network; default 2 min.
	ForwardedIDTTL time.Duration
}

// Defaults of Options.
const (
	defaultMaxWaiting     = 512
	defaultMaxTries       = 3
	defaultMaxHops        = 2
	defaultPeerTTL        = 3 * time.Second
	defaultForwardedIDTTL = 2 * time.Minute
)

// UnitsOfRequest is the number of units of its team's limit that one request
// uses.
const UnitsOfRequest = 1

// Router routes the requests of one entry host. It is not safe for concurrent
// use.
type Router struct {
	opts           Options
	workers        []*worker // sorted by ID
	byID           map[ident.WorkerID]*worker
	calls          map[ident.TaskID]*call
	forwardedIDs   *idCache
	teams          map[ident.TeamID]*teamQueue
	sortedTeams    []*teamQueue // sorted by team
	peers          map[ident.HostID]*peer
	budgets        map[ident.ServiceID]*budget
	waiting        int
	draining       bool
	avgServiceTime float64 // moving average in seconds
	commands       []Command
	counters       Counters
}

// Counters counts the decisions of a Router since its start.
type Counters struct {
	Dispatched, Forwarded, Completed, Retried int64
	Rejected                                  map[Cause]int64
}

// New returns a Router without workers, peers or requests.
func New(opts Options) *Router {
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = defaultMaxWaiting
	}
	if opts.MaxTries <= 0 {
		opts.MaxTries = defaultMaxTries
	}
	if opts.MaxHops <= 0 {
		opts.MaxHops = defaultMaxHops
	}
	if opts.PeerTTL <= 0 {
		opts.PeerTTL = defaultPeerTTL
	}
	if opts.ForwardedIDTTL <= 0 {
		opts.ForwardedIDTTL = defaultForwardedIDTTL
	}
	return &Router{
		forwardedIDs: newIDCache(opts.ForwardedIDTTL),
		opts:         opts,
		byID:         map[ident.WorkerID]*worker{},
		calls:        map[ident.TaskID]*call{},
		teams:        map[ident.TeamID]*teamQueue{},
		peers:        map[ident.HostID]*peer{},
		budgets:      map[ident.ServiceID]*budget{},
		counters:     Counters{Rejected: map[Cause]int64{}},
	}
}

// Step handles one event at time now and returns the resulting commands. The
// slice is valid until the next Step.
func (r *Router) Step(now time.Duration, ev Event) []Command {
	r.commands = r.commands[:0]
	switch ev := ev.(type) {
	case Admitted:
		r.admit(now, ev)
	case Finished:
		r.finished(now, ev)
	case Cancelled:
		r.cancel(ev.ID)
	case WorkerReady:
		r.workerReady(ev)
	case WorkerOccupancy:
		r.workerOccupancy(ev)
	case WorkerGone:
		r.workerGone(ev.Worker)
	case WorkerLeaving:
		r.workerLeaving(ev)
	case PeerSeen:
		r.peers[ev.Host] = &peer{PeerSeen: ev, seenAt: now}
	case PeerGone:
		delete(r.peers, ev.Host)
	case TeamShare:
		r.team(ev.Team).weight = ev.Weight
	case DrainStarted:
		r.draining = true
	case Tick:
		r.expire(now)
	}
	r.startWaiting(now)
	return r.commands
}

// Free returns the number of free slots on workers that are neither leaving nor
// quarantined, minus the waiting requests; at least zero.
func (r *Router) Free() int64 {
	var n int64
	for _, w := range r.workers {
		if !w.leaving && !w.quarantined {
			n += max(w.free(), 0)
		}
	}
	return max(n-int64(r.waiting), 0)
}

// Waiting returns the number of waiting requests.
func (r *Router) Waiting() int { return r.waiting }

// InFlight returns the number of calls in flight on the given worker. For an
// empty ID it returns the number of requests that this host has admitted and
// not ended, including waiting ones.
func (r *Router) InFlight(id ident.WorkerID) int64 {
	if id == "" {
		return int64(len(r.calls))
	}
	if w, ok := r.byID[id]; ok {
		return w.inFlight
	}
	return 0
}

// Counters returns the counters since the start of the router.
func (r *Router) Counters() Counters { return r.counters }

// Quarantined returns the workers that are excluded from selection because too
// many of their calls failed.
func (r *Router) Quarantined() []ident.WorkerID {
	var ids []ident.WorkerID
	for _, w := range r.workers {
		if w.quarantined {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// Services returns the services of this host's workers, except those of workers
// that are leaving.
func (r *Router) Services() []ident.ServiceID {
	seen := map[ident.ServiceID]bool{}
	var list []ident.ServiceID
	for _, w := range r.workers {
		for _, s := range w.services {
			if !seen[s] && !w.leaving {
				seen[s] = true
				list = append(list, s)
			}
		}
	}
	return list
}

func (r *Router) team(id ident.TeamID) *teamQueue {
	if q, ok := r.teams[id]; ok {
		return q
	}
	q := &teamQueue{team: id, weight: 1}
	r.teams[id] = q
	at := sort.Search(len(r.sortedTeams), func(i int) bool { return r.sortedTeams[i].team >= id })
	r.sortedTeams = append(r.sortedTeams, nil)
	copy(r.sortedTeams[at+1:], r.sortedTeams[at:])
	r.sortedTeams[at] = q
	return q
}

func (r *Router) budget(s ident.ServiceID) *budget {
	if b, ok := r.budgets[s]; ok {
		return b
	}
	b := newBudget()
	r.budgets[s] = b
	return b
}

func (r *Router) emit(c Command) { r.commands = append(r.commands, c) }

// reject ends c with the given cause and releases everything it holds.
func (r *Router) reject(c *call, cause Cause, after time.Duration) {
	err := &RejectedError{Cause: cause, RetryAfter: after, MayHaveRun: c.mayHaveRun}
	r.counters.Rejected[cause]++
	r.remove(c)
	if err.Outcome() == work.OutcomeNotRun {
		r.forwardedIDs.markRefused(c.ID)
	}
	r.emit(Reject{ID: c.ID, Cause: err})
}

func (r *Router) remove(c *call) {
	if c.waiting {
		r.waiting--
		r.team(c.Team).dequeue(c)
	}
	r.releaseUnit(c)
	delete(r.calls, c.ID)
}

func (r *Router) releaseUnit(c *call) {
	if !c.holdsUnit {
		return
	}
	c.holdsUnit = false
	r.team(c.Team).inFlight--
	r.opts.Limits.Done(c.Team, UnitsOfRequest)
}
