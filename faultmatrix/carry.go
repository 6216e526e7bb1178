package faultmatrix

import (
	"errors"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Timeouts of the edges, as in package entry.
const (
	workerTimeout = 1500 * time.Millisecond
	logTimeout    = 5 * time.Second
	peerTimeout   = time.Second
	readPause     = 100 * time.Millisecond // after a failed read
	restartAfter  = 2 * time.Second        // of a life that must start over
)

const configStream = engine.ConfigStream

// carry carries out one command of the engine.
func (h *host) carry(cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		h.sendLease(cmd)
	case engine.SendRelease:
		h.sendRelease(cmd)
	case engine.StartTask:
		h.startTask(cmd)
	case engine.ControlTask:
		h.controlTask(cmd)
	case engine.CallWorker:
		h.callWorker(cmd)
	case engine.AppendGroup:
		h.appendGroup(cmd)
	case engine.ReadStream:
		h.readStream(cmd)
	default:
		h.carryPeer(cmd)
	}
}

// worker sends a call to a worker. A dead worker refuses connections, a paused
// one does not answer.
func (h *host) worker(cmd engine.Command, id ident.WorkerID, call func(*standin.WorkerState) (any, error), done func(reply)) {
	h.w.send(exchange{
		from: h, to: placeOf(h.w.places[id]), step: stepOf(cmd), timeout: workerTimeout,
		serve: func(answer func(reply)) {
			value, err := call(h.w.workers[id])
			var silent *standin.NoAnswerError
			if errors.As(err, &silent) {
				if silent.Dead {
					answer(reply{err: &ports.NotSentError{Op: silent.Op, Cause: err}})
				}
				return
			}
			answer(reply{value: value, err: err})
		},
		done: done,
	})
}

func (h *host) sendLease(cmd engine.SendLease) {
	h.worker(cmd, cmd.Key.Worker, func(w *standin.WorkerState) (any, error) {
		return w.Lease(h.w.Now(), cmd.Request)
	}, func(r reply) {
		grant, _ := r.value.(ports.LeaseGrant)
		h.step(engine.LeaseAnswered{Key: cmd.Key, SentAt: cmd.SentAt, Epoch: cmd.Request.Epoch, Grant: grant, Err: r.err})
	})
}

func (h *host) sendRelease(cmd engine.SendRelease) {
	h.worker(cmd, cmd.Key.Worker, func(w *standin.WorkerState) (any, error) {
		return nil, w.Release(h.w.Now(), cmd.Key.Class, cmd.Epoch)
	}, func(r reply) {
		h.step(engine.ReleaseAnswered{Key: cmd.Key, Epoch: cmd.Epoch, Err: r.err})
	})
}

func (h *host) startTask(cmd engine.StartTask) {
	h.worker(cmd, cmd.Worker, func(w *standin.WorkerState) (any, error) {
		return nil, w.Start(h.w.Now(), cmd.Request)
	}, func(r reply) {
		h.step(engine.StartAnswered{ID: cmd.ID, Worker: cmd.Worker, Epoch: cmd.Request.Epoch, Err: r.err})
	})
}

func (h *host) controlTask(cmd engine.ControlTask) {
	h.worker(cmd, cmd.Worker, func(w *standin.WorkerState) (any, error) {
		return nil, w.Control(h.w.Now(), cmd.Request)
	}, func(reply) {})
}

func (h *host) appendGroup(cmd engine.AppendGroup) {
	h.w.send(exchange{
		from: h, to: placePlatform, step: stepOf(cmd), timeout: logTimeout,
		serve: func(answer func(reply)) {
			_, err := h.w.log.Append(h.w.Now(), cmd.Stream, cmd.Group)
			h.w.After(h.w.log.Faults().Slow, func() { answer(reply{err: uncertainIfCut("append", err)}) })
		},
		done: func(r reply) { h.step(engine.Appended{Stream: cmd.Stream, Tag: cmd.Tag, Err: r.err}) },
	})
}

// uncertainIfCut turns a connection that the log cut into what its caller sees.
func uncertainIfCut(op string, err error) error {
	var down *standin.DownError
	var lost *standin.LostAnswerError
	if errors.As(err, &down) || errors.As(err, &lost) {
		return &ports.UncertainError{Op: op, Cause: err}
	}
	return err
}

func (h *host) readStream(cmd engine.ReadStream) {
	h.w.send(exchange{
		from: h, to: placePlatform, step: stepOf(cmd), back: backOf(cmd), timeout: logTimeout + cmd.Wait,
		serve: func(answer func(reply)) { h.w.read(cmd.Read, h.w.Now()+cmd.Wait, answer) },
		done: func(r reply) {
			if r.err != nil {
				h.w.After(readPause, func() {
					h.wake(func() { h.step(engine.StreamFailed{Stream: cmd.Stream, Tag: cmd.Tag}) })
				})
				return
			}
			page := r.value.(ports.Page)
			if cmd.Stream == configStream && len(page.Records) > 0 {
				h.w.reached(StepApply, h, "")
			}
			h.wake(func() { h.step(engine.StreamRead{Stream: cmd.Stream, Tag: cmd.Tag, Page: page}) })
		},
	})
}

// readEvery is how often a waiting read looks for news.
const readEvery = 25 * time.Millisecond

// read answers a read when there are records, or when its wait is over.
func (w *World) read(cmd stream.Read, until time.Duration, answer func(reply)) {
	page, _, err := w.log.Read(w.Now(), cmd.Stream, cmd.After, cmd.Limit)
	if err == nil && len(page.Records) == 0 && w.Now() < until {
		w.After(readEvery, func() { w.read(cmd, until, answer) })
		return
	}
	w.After(w.log.Faults().Slow, func() { answer(reply{value: page, err: uncertainIfCut("read", err)}) })
}
