package member

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Options configures Members. A zero duration or count takes its default.
type Options struct {
	Self ident.Holder
	Zone ident.Zone
	Addr string // IP and port of the own peer endpoint
	Seed uint64 // of the jitter

	HeartbeatEvery time.Duration // to hosts of the own zone; default 1 s
	RemoteEvery    time.Duration // to hosts elsewhere and to silent ones; default 4 s
	RemotePeers    int           // hosts elsewhere that get digests; default 4
	PeerTTL        time.Duration // a silent host counts as dead after this; default 4 s
	FailuresToDead int           // failed calls in a row that make a host count as dead; default 3
	ForgetAfter    time.Duration // a silent host that is not listed is forgotten; default 60 s

	Damp           time.Duration // how long a worker must belong elsewhere before it moves; default 3 s
	MovesPerSecond int           // workers handed over a second; default 20
	// DropAfter is how long a worker that is not listed may be silent before it
	// is given up; default 30 s.
	DropAfter time.Duration
}

// Defaults of Options.
const (
	defaultHeartbeatEvery = time.Second
	defaultRemoteEvery    = 4 * time.Second
	defaultRemotePeers    = 4
	defaultPeerTTL        = 4 * time.Second
	defaultFailuresToDead = 3
	defaultForgetAfter    = time.Minute
	defaultDamp           = 3 * time.Second
	defaultMovesPerSecond = 20
	defaultDropAfter      = 30 * time.Second
)

func (o Options) withDefaults() Options {
	o.HeartbeatEvery = orDefault(o.HeartbeatEvery, defaultHeartbeatEvery)
	o.RemoteEvery = orDefault(o.RemoteEvery, defaultRemoteEvery)
	o.RemotePeers = orDefault(o.RemotePeers, defaultRemotePeers)
	o.PeerTTL = orDefault(o.PeerTTL, defaultPeerTTL)
	o.FailuresToDead = orDefault(o.FailuresToDead, defaultFailuresToDead)
	o.ForgetAfter = orDefault(o.ForgetAfter, defaultForgetAfter)
	o.Damp = orDefault(o.Damp, defaultDamp)
	o.MovesPerSecond = orDefault(o.MovesPerSecond, defaultMovesPerSecond)
	o.DropAfter = orDefault(o.DropAfter, defaultDropAfter)
	return o
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
