package host

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fireflyfold/fireflyfold/boottime"
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
	// leaderCallTimeout bounds one call to the leader; the call is repeated.
	leaderCallTimeout = 700 * time.Millisecond
	// leaderCallTimeoutUnready is the same at a host that is not ready: the leader may be
	// unreachable from it, and the caller should retry at another host soon.
	leaderCallTimeoutUnready = 150 * time.Millisecond
	// leaderWaitTimeout is how long a request waits for a leader: a successor leads
	// within a second, and a refused caller retries after a second at the earliest.
	leaderWaitTimeout = time.Second
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
	job      string        // job id; "" if the path names the queue itself
	owner    string        // workspace of the key; "" in a public queue
	began    time.Duration // when the request came (package boottime)
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
	body, ok := c.readBody()
	if !ok {
		return
	}
	job, err := platform.DecodeJob(body, c.host.maxJobTasks())
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
	charge, err := c.host.jobBudget.take(c.ctx, job.Id, region.JobMemory(job))
	if err != nil {
		c.host.log.WithError(err).WithField("job", c.job).Debug("no memory for a job")
		c.refuse("the leader has no memory for the job")
		return
	}
	outcome := c.appendRecord(&record.Intake{Kind: &record.Intake_Submitted{Submitted: job}})
	charge.settle(outcome)
	c.host.metrics.Timer("submission_seconds").Record(boottime.Now() - began)
	if outcome == appended {
		c.host.log.WithFields(logrus.Fields{"job": c.job, "queue": job.Queue, "workspace": job.Workspace,
			"config": c.config.Version, "config_age_ms": c.host.config.ConfirmationAge().Milliseconds(),
			"ms": (boottime.Now() - began).Milliseconds()}).Info("accepted")
	}
	c.answerAppend(outcome)
}
