package entry

import (
	"time"

	"github.com/fireflyfold/fireflyfold/connlimit"
	"github.com/fireflyfold/fireflyfold/settings"
)

const (
	// headMemory is what the heads of all requests may take up beside the bodies, in bytes.
	headMemory = 8 << 20
	// bodyFactor is how many times its size a body takes up while it grows.
	bodyFactor = 2
	// receiveBuffer is the size of the receive buffer of each connection in bytes, and
	// bodyReceiveBuffer while a body comes. What was received and not read takes up memory of the
	// host's machine.
	receiveBuffer     = 16 << 10
	bodyReceiveBuffer = 64 << 10
	// peerShare is the number of connections of other hosts for each one of a caller.
	peerShare = 0.5
	// peerBodyTimeout bounds the time that a call of another host may take to arrive.
	peerBodyTimeout = 30 * time.Second
	// peerMargin is the part of a call of another host that is not its body.
	peerMargin = 1 << 20
)

// callerLimits returns what callers may hold of the process. The server bounds the time.
func callerLimits(l settings.Limits) connlimit.Options {
	return connlimit.Options{MaxConns: l.MaxConnections, MaxBytes: requestMemory(l), ReceiveBuffer: receiveBuffer, BodyReceiveBuffer: bodyReceiveBuffer}
}

// peerLimits returns what clients of the port for other hosts may hold.
func peerLimits(l settings.Limits) connlimit.Options {
	return connlimit.Options{
		MaxConns: max(int(peerShare*float64(l.MaxConnections)), 1), MaxBytes: requestMemory(l),
		MaxHeadBytes: func() int { return int(l.MaxHeader) }, ReceiveBuffer: receiveBuffer, BodyReceiveBuffer: bodyReceiveBuffer, BodyTimeout: peerBodyTimeout,
	}
}

func requestMemory(l settings.Limits) int64 { return bodyFactor*l.BodyMemory + headMemory }

// maxPeerCall returns the bound of a call of another host in bytes: it carries the body of a request,
// or a submission that was encoded again.
func maxPeerCall(l settings.Limits) int64 { return bodyFactor*l.MaxBody + peerMargin }
