package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/sched"
)

// Options configures an Engine. Self, Zone and Zones are required. Zero values
// in the options of the components take the components' defaults; the identity
// fields there (Self, Zone, Addr, Seed) are overwritten.
type Options struct {
	Self  ident.Holder
	Zone  ident.Zone
	Zones []ident.Zone // all configured zones, identical on every host
	Addr  string       // IP and port of this host's peer endpoint
	Seed  uint64       // for all random choices

	Lease   lease.Options
	Member  member.Options
	Request request.Options
	Sched   sched.Options
	Jobs    jobs.Config   // zero for jobs.DefaultConfig
	Ledger  ledger.Config // zero for ledger.DefaultConfig

	ConfigPoll     time.Duration // maximum wait of one read of the configuration; default 1 s
	SnapshotEvery  time.Duration // interval between snapshots of the configuration; default 1 h
	KeepJobs       time.Duration // how long ended jobs and their idempotency keys are kept; default 24 h
	ListLag        time.Duration // maximum staleness of the host list; default 10 s
	MaxRequestTime time.Duration // maximum duration of a request; default 60 s
}

// Defaults of Options.
const (
	defaultConfigPoll     = time.Second
	defaultSnapshotEvery  = time.Hour
	defaultKeepJobs       = 24 * time.Hour
	defaultListLag        = 10 * time.Second
	defaultMaxRequestTime = time.Minute
)

func (o Options) withDefaults() Options {
	if o.ConfigPoll == 0 {
		o.ConfigPoll = defaultConfigPoll
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.KeepJobs == 0 {
		o.KeepJobs = defaultKeepJobs
	}
	if o.ListLag == 0 {
		o.ListLag = defaultListLag
	}
	if o.MaxRequestTime == 0 {
		o.MaxRequestTime = defaultMaxRequestTime
	}
	if o.Jobs.AppendInterval == 0 {
		o.Jobs = jobs.DefaultConfig(o.Zone, o.Self)
	}
	if o.Ledger.AppendInterval == 0 {
		o.Ledger = ledger.DefaultConfig(o.Self, o.Zone)
	}
	if o.Lease.TaskTTL == 0 {
		o.Lease.TaskTTL = lease.DefaultTaskTTL
	}
	if o.Lease.Drift == 0 {
		o.Lease.Drift = lease.DefaultDrift
	}
	o.Lease.Self = o.Self
	o.Lease.Seed = o.Seed
	o.Member.Self = o.Self
	o.Member.Zone = o.Zone
	o.Member.Addr = o.Addr
	o.Member.Seed = o.Seed
	o.Request.Zone = o.Zone
	o.Request.ForwardedIDTTL = 2 * o.MaxRequestTime // a request, and as long again for a message in flight
	return o
}
