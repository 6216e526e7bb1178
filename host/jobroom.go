package host

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/region"
)

const (
	// jobMemoryShare is the fraction of a leader's memory that jobs may take up.
	jobMemoryShare = 1. / 3
	// allowanceShare is the fraction of it that all hosts together may fill without a reservation, or
	// of what is left, if that is less.
	allowanceShare = 1. / 4
	// largestShare is the largest fraction of what is left that one job may take up: jobs that take up
	// little are accepted for longest.
	largestShare = 1. / 2
	// reservationTime is how long the memory of a job is reserved that does not come.
	reservationTime = 10 * time.Second
	// sweepInterval is the shortest time between two looks for reservations that are over.
	sweepInterval = 20 * time.Millisecond
)

var errNoJobMemory = errors.New("the leader has too little memory left")

// jobRoom holds the reservations of a leader for jobs that its scheduler does not count yet. It is safe
// for concurrent use.
type jobRoom struct {
	mu           sync.Mutex
	reservations map[string]reservation // by job
	reserved     int64                  // sum of their bytes
	nextSweep    time.Duration
}

type reservation struct {
	bytes int64
	until time.Duration
}

// left returns what a leader has left of total bytes, and how old the reads are that it has counted. ok
// is false while the leader loads.
func (r *jobRoom) left(l *leader.Leader, total int64) (left int64, readAge time.Duration, ok bool) {
	if now := boottime.Now(); now >= r.nextSweep {
		r.sweep(l, now)
		r.nextSweep = now + sweepInterval
	}
	counted, readAge, ok := l.JobMemory()
	return max(total-counted-r.reserved, 0), readAge, ok
}

// sweep drops the reservations of jobs that the scheduler counts, and those that have lapsed.
func (r *jobRoom) sweep(l *leader.Leader, now time.Duration) {
	for job, o := range r.reservations {
		if s, _ := l.State(job); s.State != region.StateUnknown || o.until <= now {
			delete(r.reservations, job)
			r.reserved -= o.bytes
		}
	}
}

// reserve reserves memory for a job.
func (r *jobRoom) reserve(job string, bytes int64) {
	if r.reservations == nil {
		r.reservations = make(map[string]reservation)
	}
	r.reserved += bytes - r.reservations[job].bytes
	r.reservations[job] = reservation{bytes: bytes, until: boottime.Now() + reservationTime}
}

// jobMemory returns how many bytes of this host's memory jobs may take up while it leads.
func (h *Host) jobMemory() int64 { return int64(jobMemoryShare * h.memoryBytes()) }

// jobAllowance returns the part of the leader's memory that each host may fill with jobs without a
// reservation. It returns nil while the leader loads.
func (h *Host) jobAllowance(l *leader.Leader) *hostrpc.JobAllowance {
	h.jobRoom.mu.Lock()
	defer h.jobRoom.mu.Unlock()
	left, readAge, loaded := h.jobRoom.left(l, h.jobMemory())
	if !loaded {
		return nil
	}
	hosts := float64(len(h.helpers.names()))
	return &hostrpc.JobAllowance{Bytes: int64(allowanceShare * float64(left) / hosts), ReadAgeMs: readAge.Milliseconds() + 1}
}

// Reserve implements hostrpc.LeaderHandler. It answers FAILED_PRECONDITION if this host does not lead,
// and RESOURCE_EXHAUSTED if the leader has too little memory left for the job.
func (h *Host) Reserve(_ context.Context, req *connect.Request[hostrpc.ReserveRequest]) (*connect.Response[hostrpc.ReserveResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
	}
	if err := h.reserveHere(l, req.Msg.Job, req.Msg.Bytes); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&hostrpc.ReserveResponse{}), nil
}

// reserveHere reserves memory of the leader on this host. What all hosts may fill without a reservation
// is not available.
func (h *Host) reserveHere(l *leader.Leader, job string, bytes int64) error {
	h.jobRoom.mu.Lock()
	defer h.jobRoom.mu.Unlock()
	left, _, loaded := h.jobRoom.left(l, h.jobMemory())
	available := float64(left) - allowanceShare*float64(h.jobMemory())
	if !loaded || float64(bytes) > largestShare*available {
		h.metrics.Counter("job_reservations_denied").Inc(1)
		return errNoJobMemory
	}
	h.jobRoom.reserve(job, max(bytes, 0))
	return nil
}
