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
	isolatedAfter = pingEvery
	// readyLook is the interval between readiness checks. It is short compared with
	// the balancer's interval of a second.
	readyLook = 50 * time.Millisecond
)

// contact records since when calls to other hosts have failed.
type contact struct{ failedAt atomic.Int64 } // 0 if the newest call was answered

func (c *contact) heard() { c.failedAt.Store(0) }

func (c *contact) failed() { c.failedAt.CompareAndSwap(0, int64(boottime.Now())) }

// lostFor returns how long calls to other hosts have failed; 0 if the newest call
// was answered.
func (c *contact) lostFor() time.Duration {
	at := c.failedAt.Load()
	if at == 0 {
		return 0
	}
	return boottime.Now() - time.Duration(at)
}

// isolated reports whether this host reaches neither the log nor any other host. It
// cannot serve any request then, so requests fail at once instead of waiting.
func (h *Host) isolated() bool {
	return !h.intake.Healthy() && h.election.leading() == nil && h.contact.lostFor() > isolatedAfter
}

// sendCallersAway disables keep-alives on the callers' server while this host is
// not ready and enables them again afterwards.
//
// It guards against callers that stay connected to a host in a zone that is cut off:
// the balancer picks another host only for a new connection, so requests on an open
// one are refused until the partition heals. A server without keep-alives closes
// idle connections at once and busy ones after their response.
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
