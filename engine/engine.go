package engine

import (
	"math/rand/v2"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Engine holds the state of one entry host. It is not safe for concurrent use.
type Engine struct {
	opts Options
	now  time.Duration
	wall time.Time

	members *member.Members
	leases  *lease.Manager
	router  *request.Router
	units   *ledger.Holder
	owner   *jobs.Owner

	requestUnits *requestLimits

	config     configFollower
	calls      requestBook
	demand     demand
	zone       *zoneScheduler // nil unless this host is the zone's scheduler
	zoneLife   uint64         // number of the newest zoneScheduler, from 1
	claims     claimBook
	reclaim    *reclaimWatch
	left       leftBook
	quarantine quarantineWatch

	reports           map[lease.Key][]ports.TaskReport // last report under each held lease
	draining          bool
	drainNotBefore    time.Duration // earliest end of a planned stop
	transferringUnits bool          // the units are being transferred to other hosts
	leaveDeadline     time.Duration // when a planned stop ends even if that has not succeeded
	drained           bool
	dethroned         bool // other hosts have taken over the units; Step does nothing
	view              View
	viewSent          bool
	viewChanges       uint64        // member.Members.Changes when the view was computed
	nextViewAt        time.Duration // when the view is computed again at the latest
	nextLoadAt        time.Duration // when the load is next reported to membership
	out               []Command     // of the current Step

	proposals   map[jobs.ProposalID]sentProposal
	proposalID  jobs.ProposalID
	refusedEnds []sentProposal // refused while the owner was at its bound, to be proposed again

	routerPump pump[request.Command]
	schedPump  pump[sched.Command]
	ownerPump  pump[stream.Command]
	unitsPump  pump[stream.Command]
}

// New returns the engine of a host that has just started.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:    opts,
		members: member.New(opts.Member),
		leases:  lease.New(opts.Lease),
		units:   ledger.NewHolder(opts.Ledger),
		owner:   jobs.NewOwner(opts.Jobs),
		config:  newConfigFollower(opts),
		calls:   newRequestBook(),
		demand:  newDemand(),
		claims:  newClaimBook(),
		reclaim: newReclaimWatch(opts),
		left:    newLeftBook(),
		reports: map[lease.Key][]ports.TaskReport{},

		proposals: map[jobs.ProposalID]sentProposal{},
	}
	e.requestUnits = &requestLimits{units: e.units, retained: map[ident.TeamID]int64{}}
	opts.Request.Limits = e.requestUnits
	opts.Request.Rand = rand.New(rand.NewPCG(opts.Seed, uint64(opts.Self.Incarnation)))
	e.router = request.New(opts.Request)
	return e
}

// Step handles one event at time now and returns the resulting commands in
// order. now must not decrease. The slice is valid until the next Step.
func (e *Engine) Step(now time.Duration, ev Event) []Command {
	e.now = max(e.now, now)
	e.out = e.out[:0]
	if e.dethroned {
		return nil
	}
	switch ev := ev.(type) {
	case Tick:
		e.tick(ev)
	case Listed:
		e.listed(ev)
	case ListFailed:
		e.stepMembers(member.ListFailed{})
	case DigestReceived:
		e.digestReceived(ev.Digest)
	case PeerFailed:
		e.peerFailed(ev.Host)
	case LeaseAnswered:
		e.leaseAnswered(ev)
	case ReleaseAnswered:
		e.stepLeases(lease.ReleaseDone{Key: ev.Key, Epoch: ev.Epoch, Done: ev.Err == nil || refusalOf(ev.Err) != ""})
	case StreamRead, StreamFailed, Appended:
		e.stepStream(ev)
	case PeerConfig:
		e.peerConfig(ev)
	default:
		e.stepWork(ev)
	}
	return e.out
}

// stepWork handles the events of requests, jobs and operators, and the calls of
// peers.
func (e *Engine) stepWork(ev Event) {
	switch ev := ev.(type) {
	case RequestAdmitted:
		e.requestAdmitted(ev)
	case RequestFinished:
		e.requestFinished(ev)
	case RequestCancelled:
		e.stepRouter(request.Cancelled{ID: ev.ID})
	case JobSubmitted:
		e.jobSubmitted(ev)
	case JobCancelRequested:
		e.jobCancelRequested(ev)
	case JobQueried:
		e.jobQueried(ev)
	case StartAnswered:
		e.startAnswered(ev)
	case UnitsAsked:
		e.stepUnits(ledger.Asked{From: ev.From, Team: ev.Team, Units: ev.Units, Lack: ev.Lack, Seq: ev.Seq})
	case PromiseAsked:
		e.promiseAsked(ev)
	case PromiseAnswered:
		e.promiseAnswered(ev)
	case AttemptsAsked:
		e.attemptsAsked(ev)
	case AttemptsAnswered:
		e.attemptsAnswered(ev)
	case LeasesAsked:
		e.leasesAsked(ev)
	case LeasesAnswered:
		e.leasesAnswered(ev)
	case ConfigAsked:
		e.configAsked(ev)
	case DrainRequested:
		e.drain()
	}
}

func (e *Engine) emit(cmd Command) { e.out = append(e.out, cmd) }

func (e *Engine) note(kind NoteKind, detail string) { e.emit(Noted{Kind: kind, Detail: detail}) }

// tick advances every part to the present time. The order matters: leases lapse
// first, before anything could be started under them.
func (e *Engine) tick(ev Tick) {
	e.wall = ev.Wall
	e.stepLeases(lease.Tick{})
	e.reportLoad()
	e.stepMembers(member.Tick{})
	e.tickConfig()
	e.tickDemand()
	e.stepUnits(ledger.Tick{})
	e.retryEnds()
	e.stepOwner(jobs.Tick{})
	e.stepRouter(request.Tick{})
	e.tickZone()
	e.tickReclaim()
	e.tickQuarantine()
	e.tickDrain()
	e.publishView()
}

// Self returns the holder that this engine acts as: its host and incarnation.
func (e *Engine) Self() ident.Holder { return e.opts.Self }

// Schedules reports whether this host owns its zone's job stream.
func (e *Engine) Schedules() bool { return e.zone != nil && e.zone.epoch != 0 }
