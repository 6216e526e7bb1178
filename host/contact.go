package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
)

const (
	// isolatedAfter is how long calls to other hosts must have failed, without an answer
	// of any, for this one to take itself for cut off: a second ping has failed by then.
	isolatedAfter = pingEvery
	// readyLook is how often a host looks whether callers are still well served
	// here: often beside the second in which the balancer asks the same.
	readyLook = 50 * time.Millisecond
)

// contact tells since when no other host has answered this one.
type contact struct{ failedAt atomic.Int64 } // 0 if the newest call was answered

func (c *contact) heard() { c.failedAt.Store(0) }

func (c *contact) failed() { c.failedAt.CompareAndSwap(0, int64(boottime.Now())) }

// lostFor is how long calls to other hosts have failed.
func (c *contact) lostFor() time.Duration {
	at := c.failedAt.Load()
	if at == 0 {
		return 0
	}
	return boottime.Now() - time.Duration(at)
}

// isolated reports whether this host reaches neither the log nor any other host.
// Nothing that a caller asks for can be had here then, and waiting does not help.
func (h *Host) isolated() bool {
	return !h.intake.Healthy() && h.election.leading() == nil && h.contact.lostFor() > isolatedAfter
}

// sendCallersAway closes the connections of callers while they are not well
// served here, and lets them keep connections again afterwards.
//
// The guard is against callers that stay with a host in a zone that is cut off: the
// balancer gives them another host only for a new connection, so that on the one
// they have they are refused for as long as the cut lasts. It holds because a
// server without keep-alive ends idle connections at once and busy ones with
// their answer.
func (h *Host) sendCallersAway(ctx context.Context, front *http.Server) {
	ready := true
	for boottime.Sleep(ctx, readyLook) {
		if now := h.Ready(); now != ready {
			ready = now
			front.SetKeepAlivesEnabled(ready)
			h.log.WithField("ready", ready).Info("readiness changed")
		}
	}
}
