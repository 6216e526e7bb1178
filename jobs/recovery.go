package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
)

// RecoveryConfig sets the waits of a recovery.
type RecoveryConfig struct {
	TaskTTL  time.Duration // how long tasks outlive the last renewal of their lease
	Drift    time.Duration // how much longer a worker's clock may take for it
	InFlight time.Duration // longest time from sending a call to its arrival
	AskEvery time.Duration // between requests for one peer's promise
}

// RecoveryEvent is something that a recovery learns.
type RecoveryEvent interface{ recoveryEvent() }

// RecoveryTick lets time pass.
type RecoveryTick struct{}

// WorkerReport says that this process holds the compute lease of the worker,
// and what the grant listed.
type WorkerReport struct {
	Worker ident.WorkerID
	Epoch  platform.Epoch
	Tasks  []platform.TaskReport
}

// ZoneHosts lists the hosts of the zone without this one, as the host list has
// them now.
type ZoneHosts struct{ Hosts []ident.HostID }

// PeerPromise says that a host will not ask for the worker's compute lease, nor
// renew it, until it is released from the promise.
type PeerPromise struct {
	Host   ident.HostID
	Worker ident.WorkerID
}

// HostHeard says that a sign of life came from a host.
type HostHeard struct{ Host ident.HostID }

func (RecoveryTick) recoveryEvent() {}
func (WorkerReport) recoveryEvent() {}
func (ZoneHosts) recoveryEvent()    {}
func (PeerPromise) recoveryEvent()  {}
func (HostHeard) recoveryEvent()    {}

// RecoveryCommand is something that a recovery decides.
type RecoveryCommand interface{ recoveryCommand() }

// AskPromise asks a peer for its promise; the answer is PeerPromise.
type AskPromise struct {
	Host   ident.HostID
	Worker ident.WorkerID
}

// ReleasePromise frees a peer from its promise.
type ReleasePromise struct {
	Host   ident.HostID
	Worker ident.WorkerID
}

// Adopt reports an attempt that runs on under this process.
type Adopt struct {
	Attempt OpenAttempt
	Report  platform.TaskReport
}

// Resolve reports how an attempt ended; the process proposes it as Ended.
type Resolve struct {
	Attempt OpenAttempt
	Result  Result
	Reason  string
}

// Recovered reports that no attempt of an earlier owner is open any more.
type Recovered struct{}

func (AskPromise) recoveryCommand()     {}
func (ReleasePromise) recoveryCommand() {}
func (Adopt) recoveryCommand()          {}
func (Resolve) recoveryCommand()        {}
func (Recovered) recoveryCommand()      {}

// Recovery finds out what became of the attempts that earlier owners left open.
type Recovery struct{}

// NewRecovery starts with the open attempts of older epochs than epoch.
func NewRecovery(cfg RecoveryConfig, epoch Epoch, open []OpenAttempt) *Recovery { return &Recovery{} }

// Step handles one event at the given time of the process's own clock.
func (r *Recovery) Step(now time.Duration, ev RecoveryEvent) []RecoveryCommand { return nil }
