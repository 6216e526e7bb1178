package host

import (
	"math"

	"github.com/fireflyfold/fireflyfold/connlimit"
)

const (
	// reservedFDs is how many file descriptors are left to files.
	reservedFDs = 200
	// frontFDShare, controlFDShare and readyFDShare are the fractions of all sockets that clients of
	// each port may have. The rest is for calls of this host.
	frontFDShare   = 3. / 8
	controlFDShare = 1. / 4
	readyFDShare   = 1. / 16
	// minConns is the least number of connections that a port accepts.
	minConns = 16
	// connMemoryShare is the fraction of the memory that connections of one port may take up, each
	// with connBytes: its goroutine, its buffers and what it has received.
	connMemoryShare = 1. / 4
	connBytes       = 40 << 10
)

// maxConns returns how many connections a port may have that gets a share of all sockets.
func (h *Host) maxConns(share float64) int {
	bySockets := share * float64(h.settings.MaxFDs-reservedFDs)
	byMemory := connMemoryShare * h.memoryBytes() / connBytes
	return max(int(min(bySockets, byMemory)), minConns)
}

func (h *Host) memoryBytes() float64 { return float64(h.settings.MemoryMB) * (1 << 20) }

// frontLimits returns what callers may hold of the process.
func (h *Host) frontLimits() connlimit.Options {
	return connlimit.Options{MaxConns: h.maxConns(frontFDShare), MaxBytes: math.MaxInt64}
}

// controlLimits returns what clients of the port for other hosts may hold.
func (h *Host) controlLimits() connlimit.Options {
	return connlimit.Options{MaxConns: h.maxConns(controlFDShare), MaxBytes: math.MaxInt64}
}

// readyLimits returns what clients of the readiness port may hold.
func (h *Host) readyLimits() connlimit.Options {
	return connlimit.Options{MaxConns: h.maxConns(readyFDShare), MaxBytes: math.MaxInt64}
}
