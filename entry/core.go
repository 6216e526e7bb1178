package entry

import (
	"context"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ports"
)

// digestEvery is how often the core renews the digest that peers are answered
// with.
const digestEvery = 200 * time.Millisecond

// runCore is the one goroutine that touches the engine.
func (h *Host) runCore(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var digestAt time.Duration
	for {
		select {
		case ev := <-h.events.Items():
			h.step(ev)
		case <-ticker.C:
			h.step(engine.Tick{Wall: time.Now().UTC()})
			if now := h.now(); now >= digestAt {
				digestAt = now + digestEvery
				h.publish()
			}
		case <-ctx.Done():
			return
		}
	}
}

// step feeds the engine one event, and then the failures of commands that no
// duty had room for.
func (h *Host) step(ev engine.Event) {
	failed := h.stepOnce(ev)
	for len(failed) > 0 {
		next := failed[0]
		failed = append(failed[1:], h.stepOnce(next)...)
	}
}

func (h *Host) stepOnce(ev engine.Event) []engine.Event {
	started := time.Now()
	var failed []engine.Event
	for _, cmd := range h.engine.Step(h.now(), ev) {
		if f := h.carryOut(cmd); f != nil {
			failed = append(failed, f)
		}
	}
	h.metrics.step.RecordDuration(time.Since(started))
	return failed
}

func (h *Host) publish() {
	digest := h.engine.Digest()
	h.digest.Store(&digest)
	facts := h.engine.Facts()
	h.facts.Store(&facts)
}

// carryOut hands a command to its duty. It returns the event that tells the
// engine of a command that could not be handed over, or nil.
func (h *Host) carryOut(cmd engine.Command) engine.Event {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		if !h.leasing.TryPush(cmd) {
			return engine.LeaseAnswered{Key: cmd.Key, SentAt: cmd.SentAt, Epoch: cmd.Request.Epoch, Err: ringFull("lease")}
		}
	case engine.SendRelease:
		if !h.leasing.TryPush(cmd) {
			return engine.ReleaseAnswered{Key: cmd.Key, Epoch: cmd.Epoch, Err: ringFull("release")}
		}
	case engine.StartTask:
		if !h.tasking.TryPush(cmd) {
			return engine.StartAnswered{ID: cmd.ID, Worker: cmd.Worker, Epoch: cmd.Request.Epoch, Err: ringFull("start")}
		}
	case engine.AppendGroup:
		if !h.logging.TryPush(cmd) {
			return engine.Appended{Stream: cmd.Stream, Tag: cmd.Tag, Err: ringFull("append")}
		}
	case engine.ReadStream:
		if !h.reading.TryPush(cmd) {
			return engine.StreamFailed{Stream: cmd.Stream, Tag: cmd.Tag}
		}
	case engine.ReadPeer:
		if !h.peering.TryPush(cmd) {
			return engine.PeerConfig{Host: cmd.Host}
		}
	case engine.ControlTask:
		h.tasking.TryPush(cmd) // a control is repeated while it is needed
	case engine.SendDigest, engine.AskUnits, engine.AskPromise, engine.AskLeases, engine.AskAttempts:
		h.peering.TryPush(cmd) // repeated by the machine that sent it
	default:
		h.carryBack(cmd)
	}
	return nil
}

func ringFull(op string) error { return &ports.NotSentError{Op: op, Cause: &RingFullError{}} }

// carryBack hands a command to the goroutine that waits for it.
func (h *Host) carryBack(cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.CallWorker:
		h.calls.deliver(cmd.ID, cmd)
	case engine.ForwardCall:
		h.calls.deliver(cmd.ID, cmd)
	case engine.RequestDone:
		h.calls.deliver(cmd.ID, cmd)
	case engine.JobAnswered:
		h.waiters.reply(cmd.Call, cmd)
	case engine.ConfigReply:
		h.waiters.reply(cmd.Call, cmd)
	case engine.PromiseReply:
		h.waiters.reply(cmd.Call, cmd)
	case engine.AttemptsReply:
		h.waiters.reply(cmd.Call, cmd)
	case engine.LeasesReply:
		h.waiters.reply(cmd.Call, cmd)
	case engine.JobDone:
		h.metrics.jobsEnded.Inc(1)
		h.waiters.ended(cmd.Job)
	case engine.ConfigChanged:
		h.config.Store(cmd.State)
	case engine.ConfigFolded:
		h.history.folded(cmd.Result)
	case engine.ViewChanged:
		h.view.Store(cmd.View)
	case engine.Noted:
		h.noted(cmd)
	case engine.Drained:
		h.stop(end{})
	case engine.Reincarnate:
		h.tel.Log.WithField("reason", cmd.Reason).Warn("this life of the host is over")
		h.stop(end{reincarnate: true, reason: cmd.Reason})
	}
}

// noted logs a change of state and keeps it for operators.
func (h *Host) noted(cmd engine.Noted) {
	h.metrics.noted(cmd.Kind)
	h.history.add(cmd)
	if cmd.Kind == engine.NoteLease {
		h.tel.Log.WithField("kind", string(cmd.Kind)).Debug(cmd.Detail)
		return
	}
	h.tel.Log.WithField("kind", string(cmd.Kind)).Info(cmd.Detail)
}
