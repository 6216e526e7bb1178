package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Options configures a Manager. A zero duration takes its default.
type Options struct {
	Self ident.Holder // this host and its incarnation
	Seed uint64       // of the jitter

	TTL     time.Duration // of a control lease; default 6 s
	TaskTTL time.Duration // how long tasks keep running after the last renewal; default 30 s
	// Drift is the most by which one process's clock may run faster than
	// another's, as a fraction; default 0.02.
	Drift float64

	RenewEvery     time.Duration // interval between renewals; default TTL/3
	RequestTimeout time.Duration // a request without an answer times out after this; default TTL/3
	RetryMin       time.Duration // first backoff after a failure; doubles up to RenewEvery; default 100 ms
	// HandoverLimit is how long a handover waits for the outcome of the starts in
	// flight before it releases the lease anyway; default 3 s.
	HandoverLimit time.Duration
}

// Defaults of Options.
const (
	DefaultTTL           = 6 * time.Second
	DefaultTaskTTL       = 30 * time.Second
	DefaultDrift         = 0.02
	defaultRetryMin      = 100 * time.Millisecond
	defaultHandoverLimit = 3 * time.Second

	// renewalsPerTTL is 3: two renewals may be lost before the lease expires.
	renewalsPerTTL = 3
	// jitterFraction spreads renewals and retries. Without it, hosts that start
	// together would keep sending their requests at the same moments.
	jitterFraction = 0.1
	// maxAcksPerRequest limits the size of a renewal.
	maxAcksPerRequest = 64
)

// withDefaults returns o with its zero fields set to their defaults.
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

// Span returns how long a lease may be used, counted from when its granted
// request was sent: TTL*(1-Drift).
func (o Options) Span() time.Duration {
	return o.TTL - time.Duration(float64(o.TTL)*o.Drift)
}
