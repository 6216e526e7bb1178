package host

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

const (
	// defaultDeadline is the deadline of a request that does not set one.
	defaultDeadline = 3 * time.Second
	// answerMargin is the part of a caller's deadline that is reserved for delivering
	// the answer.
	answerMargin = 100 * time.Millisecond
	// appendHedgeDelay is how long an append may take before other hosts are asked to
	// make it as well, as a hedged request. The log answers within some 10 ms, and
	// within half a second when it is slow for everyone.
	appendHedgeDelay = 250 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader; the call is repeated.
	leaderCallTimeout = 700 * time.Millisecond
	// leaderCallTimeoutUnready is the same at a host that is not ready: the leader may be
	// unreachable from it, and the caller should retry at another host soon.
	leaderCallTimeoutUnready = 150 * time.Millisecond
	// leaderWaitTimeout is how long a request waits for a leader: a successor leads
	// within a second, and a refused caller retries after a second at the earliest.
	leaderWaitTimeout = time.Second
	// settleTimeout is how long a cancellation waits until the leader has read all jobs that were
	// acknowledged before it: a read that finds nothing takes a second, and the next one has to
	// be sent and answered.
	settleTimeout = 2200 * time.Millisecond
	// cancelWriteTime is the part of a caller's deadline that is reserved for writing a cancellation.
	cancelWriteTime = 700 * time.Millisecond
	// leaderRetryInterval is the pause between two attempts to ask the leader.
	leaderRetryInterval = 50 * time.Millisecond
	// revocationMargin is subtracted from the time within which a withdrawn key must
	// stop working: a request that passes the key check is answered within it.
	revocationMargin = 1500 * time.Millisecond
	// defaultMaxBodyBytes bounds the body of a submission if the configuration sets no
	// limit. It has room for a spec of 4,000 bytes and some thousand steps.
	defaultMaxBodyBytes = 1 << 20
	// retryAfterSeconds is the Retry-After, in seconds, of a refusal that is temporary or
	// specific to this host.
	retryAfterSeconds = 1
)

var stateNames = map[region.State]string{
	region.StateQueued:    platform.StateQueued,
	region.StateRunning:   platform.StateRunning,
	region.StateCompleted: platform.StateCompleted,
	region.StateFailed:    platform.StateFailed,
	region.StateCancelled: platform.StateCancelled,
}

// call is one request of a caller.
type call struct {
	host     *Host
	w        http.ResponseWriter
	r        *http.Request
	config   *model.Config
	queue    *model.Queue
	job      string // job id; "" if the path names the queue itself
	owner    string // workspace of the key; "" in a public queue
	began    time.Duration
	deadline time.Duration
	cancel   context.CancelFunc
	ctx      context.Context
}

// serveCaller handles a request of a caller.
func (h *Host) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &call{host: h, w: w, r: r, began: boottime.Now()}
	c.deadline = platform.DeadlineOf(r.Header)
	if c.deadline == 0 {
		c.deadline = defaultDeadline
	}
	c.ctx, c.cancel = context.WithTimeout(r.Context(), max(c.deadline-answerMargin, answerMargin))
	defer c.cancel()
	if !c.admit() {
		return
	}
	switch {
	case r.Method == http.MethodPost && c.job != "":
		c.submit()
	case r.Method == http.MethodGet && c.job != "":
		c.serveState()
	case r.Method == http.MethodGet:
		c.servePending()
	case r.Method == http.MethodDelete && c.job != "":
		c.cancelJob()
	default:
		c.answer(http.StatusMethodNotAllowed, nil)
	}
}

// admit finds the queue of the request and checks its key. If the request is not
// admitted, it answers it and reports false.
func (c *call) admit() bool {
	c.config = c.host.config.Config()
	if c.config == nil {
		c.refuse("no configuration yet")
		return false
	}
	queue, ok := c.config.Queue(hostName(c.r.Host), c.r.URL.Path)
	if !ok {
		return c.rejectIfConfirmed(http.StatusNotFound)
	}
	c.queue = queue
	c.job = strings.TrimPrefix(c.r.URL.Path, queue.PathPrefix)
	if c.job != "" && !platform.IsJobID(c.job) {
		c.answer(http.StatusNotFound, nil)
		return false
	}
	if queue.Public {
		return true
	}
	c.owner, ok = c.config.KeyOwner[platform.KeyOf(c.r.Header)]
	if !ok {
		return c.rejectIfConfirmed(http.StatusUnauthorized)
	}
	// A host whose configuration has not been confirmed as the newest recently may
	// not know that the key was withdrawn.
	if c.host.settings.StrictRevocation && c.host.config.ConfirmationAge() > c.host.settings.KeyRevocation-revocationMargin {
		c.refuse("configuration is not confirmed")
		return false
	}
	return true
}

// rejectIfConfirmed answers a request that the configuration does not allow with
// status. If the configuration is not confirmed, a newer one may allow the request,
// and the answer is a refusal instead. It always reports false.
func (c *call) rejectIfConfirmed(status int) bool {
	if c.host.config.ConfirmationAge() > c.host.settings.ConfigApply {
		c.refuse("configuration is not confirmed")
		return false
	}
	c.answer(status, nil)
	return false
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// refuse answers with 503 and a Retry-After: the request had no effect and may be
// retried. why is a label of the refusals metric.
func (c *call) refuse(why string) {
	c.host.metrics.Tagged(map[string]string{"why": why}).Counter("refusals").Inc(1)
	c.host.log.WithFields(logrus.Fields{"job": c.job, "why": why, "config_age_ms": c.host.config.ConfirmationAge().Milliseconds()}).
		Info("refused")
	c.w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	c.answer(http.StatusServiceUnavailable, nil)
}

func (c *call) answer(status int, body []byte) {
	if c.host.stopping.Load() || c.host.isolated() {
		// The caller's next request goes to another host.
		c.w.Header().Set("Connection", "close")
	}
	if body != nil {
		c.w.Header().Set("Content-Type", "application/json")
	}
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	// An error means that the caller has gone, so it needs no handling.
	_, _ = c.w.Write(body)
}

// submit appends the job to the log, then answers: an accepted job survives the loss
// of every host.
func (c *call) submit() {
	began := boottime.Now()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, cmp.Or(c.config.Limits.MaxBodyBytes, defaultMaxBodyBytes)))
	if err != nil {
		c.answer(http.StatusRequestEntityTooLarge, nil)
		return
	}
	job, err := platform.DecodeJob(body)
	if err != nil {
		c.host.log.WithError(err).WithField("job", c.job).Info("submission rejected")
		c.answer(http.StatusBadRequest, nil)
		return
	}
	if err := checkJobSize(job, c.host.maxJobTasks()); err != nil {
		c.rejectJob(err)
		return
	}
	job.Id, job.Queue, job.Workspace, job.Policy = c.job, c.queue.Name, c.owner, c.queue.Policy
	job.AcceptedUnixMs = time.Now().UnixMilli()
	if c.host.stopping.Load() && c.host.tooLateForIntake() {
		c.refuse("stopping")
		return
	}
	outcome := c.appendRecord(&record.Intake{Kind: &record.Intake_Submitted{Submitted: job}})
	c.host.metrics.Timer("submission_seconds").Record(boottime.Now() - began)
	if outcome == appended {
		c.host.log.WithFields(logrus.Fields{"job": c.job, "queue": job.Queue, "workspace": job.Workspace,
			"config": c.config.Version, "config_age_ms": c.host.config.ConfirmationAge().Milliseconds(),
			"ms": (boottime.Now() - began).Milliseconds()}).Info("accepted")
	}
	c.answerAppend(outcome)
}

// appendOutcome is the result of an append to the intake. Its values correspond to
// hostrpc.KeepOutcome.
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
