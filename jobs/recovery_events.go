package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
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
// and what the worker lists under it.
type WorkerReport struct {
	Worker ident.WorkerID
	Epoch  ports.Epoch
	Boot   uint64 // as ports.LeaseGrant
	Tasks  []ports.TaskReport
}

// ZoneHosts lists the hosts of the zone without this one, as the host list has
// them now.
type ZoneHosts struct{ Hosts []ident.HostID }

// PeerPromise answers AskPromise: a peer will not ask for the worker's compute
// lease, nor renew it, until it is released from the promise.
type PeerPromise struct {
	From   ident.Holder
	Worker ident.WorkerID
	Seq    uint64
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

// AskPromise asks a peer for its promise; the answer is PeerPromise. It is
// asked again and again: only repeated answers of one incarnation show that it
// kept the promise.
type AskPromise struct {
	Host   ident.HostID
	Worker ident.WorkerID
	Seq    uint64
}

// ReleasePromise frees a peer from its promise.
type ReleasePromise struct {
	Host   ident.HostID
	Worker ident.WorkerID
}

// HoldOff asks this process to send no lease call to a worker, until Resume: a
// call without an answer could let the worker's tasks live on.
type HoldOff struct{ Worker ident.WorkerID }

// Resume ends HoldOff.
type Resume struct{ Worker ident.WorkerID }

// Reacquire asks to give the worker's compute lease back and to take it again:
// under the lease held now a start could still be on its way.
type Reacquire struct{ Worker ident.WorkerID }

// Adopt reports an attempt that runs on under this process.
type Adopt struct {
	Attempt OpenAttempt
	Report  ports.TaskReport
}

// Resolve reports how an attempt ended; the process proposes it as Ended.
type Resolve struct {
	Attempt OpenAttempt
	Result  Result
	Reason  string
}

// Recovered reports that every attempt of an earlier owner was adopted or
// resolved.
type Recovered struct{}

func (AskPromise) recoveryCommand()     {}
func (ReleasePromise) recoveryCommand() {}
func (HoldOff) recoveryCommand()        {}
func (Resume) recoveryCommand()         {}
func (Reacquire) recoveryCommand()      {}
func (Adopt) recoveryCommand()          {}
func (Resolve) recoveryCommand()        {}
func (Recovered) recoveryCommand()      {}
