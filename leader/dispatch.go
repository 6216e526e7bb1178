package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

// dispatcher executes the scheduler's commands. Calls run in separate goroutines; their
// results come back to the scheduler as events.
type dispatcher struct {
	leader   *Leader
	ctx      context.Context
	calls    conc.WaitGroup
	rejected bool // the log has rejected an entry; used by the writer only
}

func (d *dispatcher) wait() { d.calls.Wait() }

func (d *dispatcher) execute(commands []region.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case region.Append:
			d.append(c)
		case region.Publish:
			d.leader.status.Apply(c)
		case region.Explain:
			d.explain(c)
		case region.CrashCounted:
			d.leader.status.ApplyCrash(c)
			if !c.Outage {
				d.count(region.Count{Name: "worker_crashes_counted"})
			}
		case region.Count:
			d.count(c)
		case region.StepDown:
			d.leader.cancel(&LeadershipLostError{Why: "worker " + c.Worker + " has seen a higher fencing token"})
		case region.Start:
			d.runAfter(c.After, func() { d.start(c) })
		case region.Stop:
			d.runAfter(c.After, func() { d.stop(c) })
		case region.Probe:
			d.runAfter(c.After, func() { d.probe(c) })
		case region.Advise:
			d.runAfter(0, func() { d.advise(c) })
		}
	}
}

func (d *dispatcher) runAfter(after time.Duration, call func()) {
	d.calls.Go(func() {
		if after > 0 && !boottime.Sleep(d.ctx, after) {
			return
		}
		call()
	})
}

// append writes entries to the log. They are acked in order, so the ack of the last one
// covers them all.
func (d *dispatcher) append(c region.Append) {
	for i, e := range c.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			panic(err) // entries are built by this program and always encode
		}
		seq := c.Seq - int64(len(c.Entries)-1-i)
		last := i == len(c.Entries)-1
		d.leader.writer.Write(data, func(ack logwriter.Ack) {
			if d.rejected {
				return // a later ack would cover the rejected entry, although it is not in the log
			}
			if ack.Err != nil {
				d.rejected = true
				d.leader.cfg.Metrics.Counter("entries_rejected").Inc(1)
				d.leader.cfg.Log.WithError(ack.Err).WithField("bytes", len(data)).Error("entry rejected; stepping down")
				d.leader.cancel(ack.Err)
				return
			}
			if last {
				d.leader.lastAppendAt.Store(int64(boottime.Now()))
				d.leader.push(d.ctx, region.Committed{Seq: seq, SentAt: ack.SentAt})
			}
		})
	}
}

func (d *dispatcher) startStopTimeout() time.Duration {
	return d.leader.callTimeout.timeout(minStartStopTimeout, maxCallTimeout)
}

// observeCall updates the timeout estimate with the outcome of a call to a worker. sent is
// when the call was sent, and wait how long the worker could defer its response: a response
// within that time says nothing about latency and is ignored.
func (d *dispatcher) observeCall(sent, wait time.Duration, err error) {
	switch took := boottime.Now() - sent; {
	case platform.IsNoAnswer(err) && d.ctx.Err() == nil:
		d.leader.callTimeout.missed()
	case err == nil && took > wait:
		d.leader.callTimeout.observe(took - wait)
	}
}

func (d *dispatcher) start(c region.Start) {
	sent := boottime.Now()
	receipt, err := d.leader.cfg.Client.Start(d.ctx, d.startStopTimeout(), c.Request)
	d.observeCall(sent, 0, err)
	d.leader.push(d.ctx, region.StartAnswered{Request: c.Request, SentAt: sent, Err: callError(receipt, err)})
}

func (d *dispatcher) stop(c region.Stop) {
	sent := boottime.Now()
	receipt, err := d.leader.cfg.Client.Stop(d.ctx, d.startStopTimeout(), c.Request)
	d.observeCall(sent, 0, err)
	if stopErr := errors.CombineErrors(err, receipt.Err); stopErr != nil {
		d.leader.cfg.Log.WithError(stopErr).WithFields(logrus.Fields{"job": c.Request.Task.Job, "worker": c.Request.Worker.ID,
			"born": c.Request.Worker.BornUnix, "run": c.Request.Run}).Info("stop failed")
	}
	d.leader.push(d.ctx, region.StopAnswered{Request: c.Request, SentAt: sent, Err: callError(receipt, err)})
}

func (d *dispatcher) probe(c region.Probe) {
	sent := boottime.Now()
	response, err := d.leader.cfg.Client.Probe(d.ctx, d.leader.callTimeout.timeout(minProbeTimeout, maxCallTimeout), c.Request)
	d.observeCall(sent, c.Request.Wait, err)
	failure := platform.FailureOf(err)
	if err != nil && d.ctx.Err() == nil {
		d.count(region.Count{Name: "probe_failures", Why: failure.String()})
	}
	d.leader.push(d.ctx, region.ProbeAnswered{Request: c.Request, Verify: c.Verify, SentAt: sent, Response: response, Err: callError(platform.Receipt{Err: err}, nil), Failure: failure})
}

func (d *dispatcher) advise(c region.Advise) {
	tickets, err := d.leader.cfg.Advise(d.ctx, c.Timeout, c)
	if err != nil {
		d.leader.cfg.Metrics.Counter("advice_failures").Inc(1)
		d.leader.cfg.Log.WithError(err).WithFields(logrus.Fields{"job": c.Job, "asked_by": c.Host}).Info("advice failed")
	}
	d.leader.push(d.ctx, region.AdviceAnswered{Request: c, Tickets: tickets, At: boottime.Now(), Failed: err != nil, NotSent: platform.IsNotSent(err) || platform.IsRefused(err)})
}

func (d *dispatcher) explain(c region.Explain) {
	fields := logrus.Fields{}
	if c.Job != "" {
		fields["job"] = c.Job
	}
	for _, f := range c.Fields {
		fields[f.Name] = f.Value
	}
	d.leader.cfg.Log.WithFields(fields).Info(c.Message)
}

func (d *dispatcher) count(c region.Count) {
	scope := d.leader.cfg.Metrics
	if c.Why != "" {
		scope = scope.Tagged(map[string]string{"why": c.Why})
	}
	scope.Counter(c.Name).Inc(max(c.N, 1))
}

// callError classifies the outcome of a call to a worker.
func callError(r platform.Receipt, err error) region.CallError {
	if err == nil {
		err = r.Err
	}
	if err == nil {
		return region.CallOK
	}
	switch platform.ReasonOf(err) {
	case platform.ReasonFence:
		return region.CallFenced
	case platform.ReasonOld:
		return region.CallOldRun
	case platform.ReasonLate:
		return region.CallLeaseExpired
	case platform.ReasonRoom:
		return region.CallNoRoom
	case platform.ReasonTicket:
		return region.CallNoTicket
	}
	switch {
	case platform.IsOtherIncarnation(err):
		return region.CallOtherIncarnation
	case platform.IsNotSent(err):
		return region.CallNotSent
	case platform.IsRejected(err):
		return region.CallRefused
	}
	return region.CallNoAnswer
}

func asExpired(err error, target **platform.ExpiredError) bool { return errors.As(err, target) }
