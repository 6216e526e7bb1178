package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
)

const (
	// isolatedAfter is how long calls to other hosts must have failed without any
	// response before this host counts as isolated: by then a second ping has failed.
	isolatedAfter = minPingInterval
	// readinessCheckInterval is the interval between readiness checks. It is short
	// compared with the balancer's interval of a second.
	readinessCheckInterval = 50 * time.Millisecond
)

// peerContact records since when calls to other hosts have failed.
type peerContact struct{ failedAt atomic.Int64 } // 0 if the newest call was answered

func (c *peerContact) succeeded() { c.failedAt.Store(0) }

func (c *peerContact) failed() { c.failedAt.CompareAndSwap(0, int64(boottime.Now())) }

// failingFor returns how long calls to other hosts have failed; 0 if the newest call
// was answered.
func (c *peerContact) failingFor() time.Duration {
	at := c.failedAt.Load()
	if at == 0 {
		return 0
	}
	return boottime.Now() - time.Duration(at)
}

// isolated reports whether this host reaches neither the log nor any other host. It
// cannot serve any request then, so requests fail at once instead of waiting.
func (h *Host) isolated() bool {
	return !h.intake.Healthy() && h.election.localLeader() == nil && h.peerContact.failingFor() > isolatedAfter
}

// syncKeepAlives disables keep-alives on the callers' server while this host is
// not ready and enables them again afterwards.
//
// It guards against callers that stay connected to a host in a zone behind a network partition:
// the balancer picks another host only for a new connection, so requests on an open
// one are refused until the partition heals. A server without keep-alives closes
// idle connections at once and busy ones after their response.
func (h *Host) syncKeepAlives(ctx context.Context, front *http.Server) {
	ready := true
	for boottime.Sleep(ctx, readinessCheckInterval) {
		if now := h.Ready(); now != ready {
			ready = now
			front.SetKeepAlivesEnabled(ready)
			h.log.WithField("ready", ready).Info("readiness changed")
		}
	}
}
