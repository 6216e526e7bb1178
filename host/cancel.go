package host

import (
	"net/http"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

const (
	// settleTimeout is how long a cancellation waits until the leader has read all jobs that were
	// acknowledged before it: a read that finds nothing takes a second, and the next one has to
	// be sent and answered.
	settleTimeout = 2200 * time.Millisecond
	// cancelWriteTime is the part of a caller's deadline that is reserved for writing a cancellation.
	cancelWriteTime = 700 * time.Millisecond
)

// cancelJob appends the cancellation to the log, then answers. A job that certainly does not
// exist is answered with 410 Gone. If the leader does not answer or has not read all jobs, the
// cancellation is appended all the same.
func (c *call) cancelJob() {
	if c.jobIsGone() {
		c.answer(http.StatusGone, nil)
		return
	}
	o := c.appendRecord(&record.Intake{Kind: &record.Intake_Cancelled{Cancelled: c.job}, CancelledBy: &c.owner})
	if o == appended {
		c.host.log.WithField("job", c.job).Info("cancellation accepted")
	}
	c.answerAppend(o)
}

// jobIsGone reports whether no job with the id can have been acknowledged before the request came.
//
// The guard is against a cancellation that is answered with 410 and lost: a leader knows a job only
// once it has been notified of it or has read it. The call is repeated until the leader knows the
// job or has read the intake since the request came, for as long as the deadline leaves time to
// write the cancellation.
func (c *call) jobIsGone() bool {
	noAnswer := c.began + leaderWaitTimeout
	unsettled := c.began + min(settleTimeout, c.deadline-cancelWriteTime)
	for {
		asked := boottime.Now()
		s, ok := c.leaderJobState()
		until := noAnswer
		if ok {
			if s.State != region.StateUnknown || s.ReadAge <= asked-c.began {
				return s.VisibleTo(c.owner) == region.StateUnknown
			}
			until = unsettled
		}
		if boottime.Now() > until || c.host.isolated() || !boottime.Sleep(c.ctx, leaderRetryInterval) {
			return false
		}
	}
}
