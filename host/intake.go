package host

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/record"
)

// appendHedgeDelay is how long an append may take before other hosts are asked to
// make it as well, as a hedged request. The log answers within some 10 ms, and
// within half a second when it is slow for everyone.
const appendHedgeDelay = 250 * time.Millisecond

// appendOutcome is the result of an append to the intake. hostrpc.KeepOutcome has the first three;
// a record that the log rejects counts there as one that was not kept.
type appendOutcome int

const (
	appended       appendOutcome = iota
	notAppended                  // certainly not in the log, and never will be
	appendUnknown                // may be in the log now or later
	appendRejected               // the log rejects the record for what it contains
)

// appendRecord appends a record to the intake and notifies the leader of it. If the
// log does not answer soon, other hosts are asked to append it as well; a record that
// is appended twice counts once.
func (c *call) appendRecord(r *record.Intake) appendOutcome {
	data, err := proto.Marshal(r)
	if err != nil {
		c.host.log.WithError(err).WithField("job", c.job).Error("cannot encode a record of the intake")
		return notAppended
	}
	if len(data) > c.host.settings.MaxRecordBytes-recordMargin {
		c.host.log.WithFields(logrus.Fields{"job": c.job, "bytes": len(data), "bound": c.host.settings.MaxRecordBytes}).Info("record too large")
		return appendRejected
	}
	o := c.appendData(data)
	if o == appended {
		c.host.notifyLeader(r, data)
	}
	return o
}

// recordMargin is what a snapshot of a job may take beyond its submission, in bytes.
const recordMargin = 256

func (c *call) appendData(data []byte) appendOutcome {
	if !c.host.intake.Healthy() && !c.host.config.PeerConfirmed() {
		// Neither the log nor a host that reaches it can be reached: nothing was sent.
		return notAppended
	}
	done := make(chan appendOutcome, 1)
	p := c.host.intake.Write(data, func(a logwriter.Ack) { done <- c.host.outcomeOf(a) })
	wait := appendHedgeDelay
	if !c.host.intake.Healthy() {
		wait = 0
	}
	peerOutcome := notAppended
	select {
	case o := <-done:
		return o
	case <-c.ctx.Done():
	case <-time.After(wait):
		peerOutcome = c.host.appendThroughPeers(c.ctx, data)
	}
	switch {
	case peerOutcome == appended:
		p.Withdraw() // if this fails, the duplicate does no harm
		return appended
	case p.Withdraw():
		return peerOutcome
	}
	// The writer repeats the call that has the record until the log answers. If this
	// host becomes isolated meanwhile, answer now, and the caller can retry elsewhere.
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case o := <-done:
			return o
		case <-c.ctx.Done():
			return appendUnknown
		case <-ticker.C:
			if c.host.isolated() {
				return appendUnknown
			}
		}
	}
}

// outcomeOf returns the result of an append that the log has answered, and logs a rejection.
func (h *Host) outcomeOf(a logwriter.Ack) appendOutcome {
	if a.Err == nil {
		return appended
	}
	h.metrics.Counter("intake_records_rejected").Inc(1)
	h.log.WithError(a.Err).Error("record of the intake rejected")
	return appendRejected
}

// answerAppend answers a submission or cancellation with the result of its append.
func (c *call) answerAppend(o appendOutcome) {
	switch o {
	case appended:
		c.answer(http.StatusOK, nil)
	case notAppended:
		c.refuse("the log did not answer in time")
	case appendRejected:
		c.host.metrics.Counter("submissions_too_large").Inc(1)
		c.answer(http.StatusRequestEntityTooLarge, nil)
	case appendUnknown:
		c.host.metrics.Counter("submissions_unknown").Inc(1)
		c.host.log.WithField("job", c.job).Warn("outcome unknown: the log did not answer in time")
		c.answer(http.StatusGatewayTimeout, nil)
	}
}
