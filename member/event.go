package member

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Digest is what one host tells another of itself. Its size is bounded by the
// length of two names and an address.
type Digest struct {
	Holder    ident.Holder
	Zone      ident.Zone
	Addr      string        // IP and port of the peer endpoint
	Seq       uint64        // grows with each digest of the holder
	Config    ports.Offset  // of the configuration in force
	FreeSlots int           // on the workers that it may start on
	Waiting   int           // requests and tasks in its queues
	Leases    int           // held
	Draining  bool          // it is being stopped
	Scheduler uint64        // epoch of the job stream that it owns, or zero
	ConfigAge time.Duration // since it knew its configuration to be the newest
	// Services are the upstreams that it can reach on its workers, at most
	// MaxServices of them.
	Services []ident.ServiceID
}

// MaxServices bounds the services in a digest.
const MaxServices = 32

// Load is the part of the own digest that other packages know.
type Load struct {
	Config    ports.Offset
	FreeSlots int
	Waiting   int
	Leases    int
	Scheduler uint64
	ConfigAge time.Duration
	Services  []ident.ServiceID
}

// Event is something that Members is told.
type Event interface{ isEvent() }

// ListRead is an answer of the host list.
type ListRead struct {
	Listing ports.Listing
}

// ListFailed says that the host list could not be read. The last answer stays
// in use.
type ListFailed struct{}

// DigestReceived is a digest from a peer, as a request or as an answer.
type DigestReceived struct {
	Digest Digest
}

// PeerFailed says that a call to a peer failed.
type PeerFailed struct {
	Host ident.HostID
}

// WorkerAnswered says that a worker answered a lease request, so it is alive
// whatever the list says.
type WorkerAnswered struct {
	Worker ident.WorkerID
}

// LoadChanged replaces the own load that digests carry.
type LoadChanged struct {
	Load Load
}

// Drain says that the own host is being stopped: it wants no worker any more.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (ListRead) isEvent()       {}
func (ListFailed) isEvent()     {}
func (DigestReceived) isEvent() {}
func (PeerFailed) isEvent()     {}
func (WorkerAnswered) isEvent() {}
func (LoadChanged) isEvent()    {}
func (Drain) isEvent()          {}
func (Tick) isEvent()           {}

// Command is something that Members asks of its caller, or tells it.
type Command interface{ isCommand() }

// SendDigest asks to send a digest to a peer. The answer's digest comes back
// as DigestReceived, a failure as PeerFailed.
type SendDigest struct {
	Host   ident.HostID
	Addr   string
	Digest Digest
}

// Want says whether this host should hold a lease; see lease.Want.
type Want struct {
	Worker ident.WorkerID
	Class  ports.LeaseClass
	Wanted bool
}

// SchedulerWanted says whether this host should be the zone's scheduler.
type SchedulerWanted struct {
	Wanted bool
}

func (SendDigest) isCommand()      {}
func (Want) isCommand()            {}
func (SchedulerWanted) isCommand() {}
