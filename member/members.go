package member

import (
	"math/rand/v2"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Members is the view that one host has of the others. It is not safe for
// concurrent use.
type Members struct {
	opts  Options
	rng   *rand.Rand
	hosts map[ident.HostID]*host

	sorted   []*host       // hosts in order of name; nil after one came or went
	changes  uint64        // counts what was heard of other hosts
	nextBeat time.Duration // no digest is due before

	workers   map[ident.WorkerID]*worker
	order     []*worker // own-zone workers, in order of name
	scheduler wish

	listed     bool // a listing was read
	selfLeaves bool // the list says that this host is leaving
	selfListed bool // the list has shown this host
	firstStep  time.Duration
	stepped    bool
	draining   bool // this host is being stopped
	load       Load
	seq        uint64

	lastStep  time.Duration
	moves     float64 // handovers that may be started now
	movesAt   time.Duration
	out       []Command
	lastNames []ident.HostID // candidates of the last assignment
	stale     bool           // the assignment must be worked out again
}

// New returns the view of a host that has read no list yet.
func New(opts Options) *Members {
	opts = opts.withDefaults()
	return &Members{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, uint64(opts.Self.Incarnation))),
		hosts:   make(map[ident.HostID]*host),
		workers: make(map[ident.WorkerID]*worker),
	}
}

// Step takes in one event and returns what is to be done, in order. now must
// not decrease from step to step.
func (m *Members) Step(now time.Duration, ev Event) []Command {
	m.out = nil
	if !m.stepped {
		m.stepped = true
		m.firstStep = now
	}
	m.forgiveOwnPause(now)
	switch ev := ev.(type) {
	case ListRead:
		m.readList(now, ev.Listing)
	case ListFailed:
	case DigestReceived:
		m.hear(now, ev.Digest)
	case PeerFailed:
		m.peerFailed(now, ev.Host)
	case WorkerAnswered:
		m.workerAnswered(now, ev.Worker)
		return nil
	case LoadChanged:
		m.tellConfig(now, ev.Load.Config)
		m.load = ev.Load
		return nil
	case Drain:
		m.drain(now)
	case Tick:
		m.heartbeat(now)
	}
	m.assign(now)
	return m.out
}

func (m *Members) emit(c Command) { m.out = append(m.out, c) }

// forgiveOwnPause guards against the host's own pause: all peers then look
// silent at once, and the host would ask for every worker of the zone. A long
// gap between two steps restarts the silence of every peer.
func (m *Members) forgiveOwnPause(now time.Duration) {
	if now-m.lastStep > m.opts.PeerTTL/2 {
		for _, h := range m.hosts {
			h.graceAt = now
		}
	}
	m.lastStep = now
}

// drain tells every known host at once, not only those that get the usual
// digests: any of them may be about to forward a request to this one, and a
// forward that meets a host which has just gone ends as unknown.
func (m *Members) drain(now time.Duration) {
	m.draining = true
	m.stale = true
	for _, h := range m.sortedHosts() {
		m.emit(SendDigest{Host: h.id, Addr: h.addr, Digest: m.digest()})
	}
	m.nextBeat = now + maxBeatWait
}

// outgoing reports whether this host should own nothing.
func (m *Members) outgoing() bool { return m.draining || m.selfLeaves }

func (m *Members) digest() Digest {
	m.seq++
	return Digest{
		Holder:    m.opts.Self,
		Zone:      m.opts.Zone,
		Addr:      m.opts.Addr,
		Seq:       m.seq,
		Config:    m.load.Config,
		FreeSlots: m.load.FreeSlots,
		Waiting:   m.load.Waiting,
		Leases:    m.load.Leases,
		Draining:  m.outgoing(),
		Scheduler: m.load.Scheduler,
		ConfigAge: m.load.ConfigAge,
		Services:  m.load.Services[:min(len(m.load.Services), MaxServices)],
	}
}

// Digest returns a digest of this host, to answer a peer's with.
func (m *Members) Digest() Digest { return m.digest() }
