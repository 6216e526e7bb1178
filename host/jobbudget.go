package host

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
)

// firstAllowanceShare is the fraction of the memory for jobs that a host may fill before it has heard
// from a leader.
const firstAllowanceShare = 1. / 64

// JobMemoryError reports that the leader is not known to have enough memory left for a job.
type JobMemoryError struct {
	Bytes int64 // that the job would take up
	Cause error // of the reservation; nil if one that was no larger was denied just before
}

// Error implements error.
func (e *JobMemoryError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no memory for a job of %d bytes", e.Bytes)
	}
	return fmt.Sprintf("no memory for a job of %d bytes: %v", e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *JobMemoryError) Unwrap() error { return e.Cause }

// jobBudget bounds the jobs that this host accepts by the memory that the leader has left. Each answer
// to a ping brings an allowance, so that most jobs are accepted without a call to the leader, and also
// while there is none. Memory beyond the allowance is reserved from the leader. It is safe for
// concurrent use.
type jobBudget struct {
	host *Host

	mu        sync.Mutex
	unlimited bool // the leader is of a version without allowances
	allowance int64
	charges   []*jobCharge // jobs that the leader had not counted when it gave the allowance
	charged   int64        // sum of their bytes
	denied    int64        // smallest reservation denied since the allowance was renewed
}

func newJobBudget(h *Host) *jobBudget {
	return &jobBudget{host: h, allowance: int64(firstAllowanceShare * float64(h.jobMemory())), denied: math.MaxInt64}
}

// jobCharge is the memory of one job that this host accepts.
type jobCharge struct {
	budget  *jobBudget
	bytes   int64 // 0 if the leader has reserved the memory
	ackedAt time.Duration
}

const notAcked = time.Duration(math.MaxInt64)

// take takes the memory of a job from the allowance, or else reserves it. The error is a
// *JobMemoryError. The caller settles the charge once the job is appended.
func (b *jobBudget) take(ctx context.Context, job string, bytes int64) (*jobCharge, error) {
	if l := b.host.election.localLeader(); l != nil {
		if a := b.host.jobAllowance(l); a != nil {
			b.renew(a, boottime.Now())
		}
	}
	charge, denied := b.charge(bytes)
	switch {
	case charge != nil:
		return charge, nil
	case denied:
		return nil, &JobMemoryError{Bytes: bytes}
	}
	if err := b.host.reserve(ctx, job, bytes); err != nil {
		if ctx.Err() == nil { // else the caller's time was short
			b.deny(bytes)
		}
		return nil, &JobMemoryError{Bytes: bytes, Cause: err}
	}
	return &jobCharge{budget: b}, nil
}

// charge takes the memory from the allowance. It returns nil if that has too little left, and whether a
// reservation of as much was denied since the last answer of the leader.
func (b *jobBudget) charge(bytes int64) (charge *jobCharge, denied bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(bytes) > largestShare*float64(b.allowance-b.charged) && !b.unlimited {
		return nil, bytes >= b.denied
	}
	c := &jobCharge{budget: b, bytes: bytes, ackedAt: notAcked}
	b.charges = append(b.charges, c)
	b.charged += bytes
	return c, false
}

func (b *jobBudget) deny(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.denied = min(b.denied, bytes)
}

// settle notes whether the job may be in the log.
func (c *jobCharge) settle(outcome appendOutcome) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.ackedAt = boottime.Now()
	if outcome == notAppended || outcome == appendRejected {
		b.drop(func(o *jobCharge) bool { return o == c })
	}
}

// drop drops the charges for which is holds.
func (b *jobBudget) drop(is func(*jobCharge) bool) {
	b.charges = slices.DeleteFunc(b.charges, func(c *jobCharge) bool {
		if is(c) {
			b.charged -= c.bytes
			return true
		}
		return false
	})
}

// renew applies an allowance that was asked for at the time sent; nil if the leader is of a version
// without allowances. Charges that the leader has counted are dropped.
func (b *jobBudget) renew(a *hostrpc.JobAllowance, sent time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlimited, b.denied = a == nil, math.MaxInt64
	countedUntil := sent
	if a != nil {
		b.allowance = a.Bytes
		countedUntil -= time.Duration(a.ReadAgeMs) * time.Millisecond
	}
	b.drop(func(c *jobCharge) bool { return c.ackedAt < countedUntil })
}

// reserve reserves memory of the leader for a job.
func (h *Host) reserve(ctx context.Context, job string, bytes int64) error {
	if l := h.election.localLeader(); l != nil {
		return h.reserveHere(l, job, bytes)
	}
	claim, _ := h.election.newestClaim()
	if claim == nil {
		return errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, h.leaderTimeout())
	defer cancel()
	_, err := h.peers.leader(claim.Address).Reserve(ctx, newRequest(&hostrpc.ReserveRequest{Job: job, Bytes: bytes}))
	return err
}

var errNoLeader = errors.New("no leader is known")
