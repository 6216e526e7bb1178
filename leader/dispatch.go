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

// dispatcher carries out the scheduler's commands. Calls run in goroutines of
// their own; their answers come back as events.
type dispatcher struct {
	leader *Leader
	ctx    context.Context
	calls  conc.WaitGroup
}

func (d *dispatcher) wait() { d.calls.Wait() }

func (d *dispatcher) do(commands []region.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case region.Append:
			d.append(c)
		case region.Publish:
			d.leader.board.Set(c)
		case region.Explain:
			d.explain(c)
		case region.Deposed:
			d.leader.deposed(&DeposedError{Why: "worker " + c.Worker + " has seen a higher fencing token"})
		case region.Start:
			d.later(c.After, func() { d.start(c) })
		case region.Stop:
			d.later(c.After, func() { d.stop(c) })
		case region.Hold:
			d.later(c.After, func() { d.hold(c) })
		case region.Advise:
			d.later(0, func() { d.advise(c) })
		}
	}
}

func (d *dispatcher) later(after time.Duration, call func()) {
	d.calls.Go(func() {
		if after > 0 && !boottime.Sleep(d.ctx, after) {
			return
		}
		call()
	})
}

// append hands entries to the log; the last one's answer counts for all.
func (d *dispatcher) append(c region.Append) {
	for i, e := range c.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			panic(err) // entries are built by this program and always encode
		}
		seq := c.Seq - int64(len(c.Entries)-1-i)
		last := i == len(c.Entries)-1
		d.leader.writer.Write(data, func(k logwriter.Kept) {
			if last {
				d.leader.loggedAt.Store(int64(boottime.Now()))
				d.leader.push(d.ctx, region.Committed{Seq: seq, SentAt: k.SentAt})
			}
		})
	}
}

func (d *dispatcher) orderTimeout() time.Duration {
	return d.leader.answers.timeout(orderTimeout, mostTimeout)
}

// noteAnswer notes how a call to a worker ended that was sent at a time. A worker that was
// allowed to wait may have answered sooner, which tells nothing.
func (d *dispatcher) noteAnswer(sent, wait time.Duration, err error) {
	switch took := boottime.Now() - sent; {
	case platform.IsNoAnswer(err) && d.ctx.Err() == nil:
		d.leader.answers.missed()
	case err == nil && took > wait:
		d.leader.answers.answered(took - wait)
	}
}

func (d *dispatcher) start(c region.Start) {
	sent := boottime.Now()
	receipt, err := d.leader.cfg.Client.Start(d.ctx, d.orderTimeout(), c.Order)
	d.noteAnswer(sent, 0, err)
	d.leader.push(d.ctx, region.StartAnswered{Order: c.Order, SentAt: sent, Err: callError(receipt, err)})
}

func (d *dispatcher) stop(c region.Stop) {
	sent := boottime.Now()
	receipt, err := d.leader.cfg.Client.Stop(d.ctx, d.orderTimeout(), c.Order)
	d.noteAnswer(sent, 0, err)
	if failed := errors.CombineErrors(err, receipt.Err); failed != nil {
		d.leader.cfg.Log.WithError(failed).WithFields(logrus.Fields{"job": c.Order.Task.Job, "worker": c.Order.Worker.ID, "run": c.Order.Run}).Info("stop failed")
	}
	d.leader.push(d.ctx, region.StopAnswered{Order: c.Order, SentAt: sent, Err: callError(receipt, err)})
}

func (d *dispatcher) hold(c region.Hold) {
	sent := boottime.Now()
	hold, err := d.leader.cfg.Client.Heartbeat(d.ctx, d.leader.answers.timeout(lookTimeout, mostTimeout), c.Order)
	d.noteAnswer(sent, c.Order.Wait, err)
	d.leader.push(d.ctx, region.Held{Order: c.Order, SentAt: sent, Hold: hold, Err: callError(platform.Receipt{Err: err}, nil)})
}

func (d *dispatcher) advise(c region.Advise) {
	tickets, err := d.leader.cfg.Advise(d.ctx, c.Timeout, c)
	if err != nil {
		d.leader.cfg.Metrics.Counter("advice_failures").Inc(1)
		d.leader.cfg.Log.WithError(err).WithFields(logrus.Fields{"job": c.Job, "asked_by": c.Host}).Info("advice failed")
	}
	d.leader.push(d.ctx, region.Advised{Order: c, Tickets: tickets, At: boottime.Now(), Failed: err != nil, NotSent: platform.IsNotSent(err) || platform.IsRefused(err)})
}

func (d *dispatcher) explain(c region.Explain) {
	fields := logrus.Fields{}
	if c.Job != "" {
		fields["job"] = c.Job
	}
	for _, f := range c.Fields {
		fields[f.Name] = f.Value
	}
	d.leader.cfg.Log.WithFields(fields).Info(c.What)
}

// callError sorts the end of a call to a worker.
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
	case platform.IsRefused(err):
		return region.CallRefused
	case platform.IsNotSent(err):
		return region.CallNotSent
	case platform.StatusOf(err) != 0:
		// Any other answer says that the order was not carried out.
		return region.CallRefused
	}
	return region.CallNoAnswer
}

func asExpired(err error, target **platform.ExpiredError) bool { return errors.As(err, target) }
