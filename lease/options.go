package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Options configures a Manager. A zero duration takes its default.
type Options struct {
	Self ident.Holder // the life of the host that holds the leases
	Seed uint64       // of the jitter

	TTL     time.Duration // control lease; default 6 s
	TaskTTL time.Duration // how long tasks outlive the last renewal; default 30 s
	// Drift bounds how much faster one process's clock may run than another's,
	// as a fraction; default 0.02.
	Drift float64

	RenewEvery     time.Duration // between renewals; default TTL/3
	RequestTimeout time.Duration // an unanswered request is given up after this; default TTL/3
	RetryMin       time.Duration // first wait after a failure; doubles up to RenewEvery; default 100 ms
	// HandoverLimit is how long a handover waits for the starts in flight to be
	// settled before it releases the lease all the same; default 3 s.
	HandoverLimit time.Duration
}

// Defaults of Options.
const (
	DefaultTTL           = 6 * time.Second
	DefaultTaskTTL       = 30 * time.Second
	DefaultDrift         = 0.02
	defaultRetryMin      = 100 * time.Millisecond
	defaultHandoverLimit = 3 * time.Second

	// renewalsPerTTL leaves two renewals that may be lost before the lease is.
	renewalsPerTTL = 3
	// jitterFraction spreads renewals and retries, so that hosts that start
	// together do not stay in step.
	jitterFraction = 0.1
	// maxAcksPerRequest bounds the size of a renewal.
	maxAcksPerRequest = 64
)

// withDefaults fills in what is zero.
func (o Options) withDefaults() Options {
	o.TTL = orDefault(o.TTL, DefaultTTL)
	o.TaskTTL = orDefault(o.TaskTTL, DefaultTaskTTL)
	if o.Drift == 0 {
		o.Drift = DefaultDrift
	}
	o.RenewEvery = orDefault(o.RenewEvery, o.TTL/renewalsPerTTL)
	o.RequestTimeout = orDefault(o.RequestTimeout, o.TTL/renewalsPerTTL)
	o.RetryMin = orDefault(o.RetryMin, defaultRetryMin)
	o.HandoverLimit = orDefault(o.HandoverLimit, defaultHandoverLimit)
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Span is how long after sending a granted request its lease may be used:
// TTL*(1-Drift).
func (o Options) Span() time.Duration {
	return o.TTL - time.Duration(float64(o.TTL)*o.Drift)
}
