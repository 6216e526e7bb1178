package ledger

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
)

// ReclaimEvent is something that a Reclaimer learns.
type ReclaimEvent interface{ reclaimEvent() }

// ReclaimTick lets time pass.
type ReclaimTick struct{}

// Workers lists the workers of the zone; a worker that disappears from the
// list still counts until Gone says that its tasks have ended.
type Workers struct{ Workers []ident.WorkerID }

// WorkerGone says that no task can run on a worker any more.
type WorkerGone struct{ Worker ident.WorkerID }

// Suspect names a holder of this zone that seems dead.
type Suspect struct{ Holder ident.Holder }

// Alive takes a suspicion back.
type Alive struct{ Holder ident.Holder }

// LeaseSeen says that a control lease was seen alive at this moment, and lasts
// at least Left longer by a conservative count.
type LeaseSeen struct {
	Worker ident.WorkerID
	Class  platform.LeaseClass
	Holder ident.Holder
	Left   time.Duration
	// Tasks are the running tasks of the class on this worker.
	Tasks []RunningTask
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	ID    string
	By    ident.Holder // who started it, and whose units it uses
	Team  ident.TeamID
	Units int64
}

func (ReclaimTick) reclaimEvent() {}
func (Workers) reclaimEvent()     {}
func (WorkerGone) reclaimEvent()  {}
func (Suspect) reclaimEvent()     {}
func (Alive) reclaimEvent()       {}
func (LeaseSeen) reclaimEvent()   {}

// ReclaimCommand is something that a Reclaimer decides.
type ReclaimCommand interface{ reclaimCommand() }

// Proved reports that a suspect can start nothing any more. Adopted are its
// compute tasks that run on under this process.
type Proved struct {
	Dead    ident.Holder
	Adopted []RunningTask
}

func (Proved) reclaimCommand() {}
