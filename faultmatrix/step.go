package faultmatrix

import (
	"bytes"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/ledger"
)

// Step is a moment in the life of work or of the fleet at which a fault may
// strike.
type Step string

// The steps.
const (
	StepAdmit    Step = "admit"
	StepClaim    Step = "claim"
	StepQueue    Step = "queue"
	StepReserve  Step = "reserve"
	StepStart    Step = "start" // of a durable task
	StepCall     Step = "call"  // the start of a request, on a worker or by a peer
	StepRenew    Step = "renew"
	StepAnswer   Step = "answer"
	StepReturn   Step = "return"
	StepRelease  Step = "release"
	StepGive     Step = "give units"
	StepTakeOver Step = "take over"
	StepApply    Step = "apply configuration"
	StepDrain    Step = "drain"
)

// Steps lists every step in the order of the life of work.
var Steps = []Step{
	StepAdmit, StepClaim, StepQueue, StepReserve, StepStart, StepCall, StepRenew, StepAnswer, StepReturn,
	StepRelease, StepGive, StepTakeOver, StepApply, StepDrain,
}

// Marks of records in groups that are about to be appended.
var (
	markAccepted = []byte(`"acc":`)
	markRequest  = []byte(`"kind":"request"`)
	markAssigned = []byte(`"asg":`)
	markFence    = []byte(`"fence":`)
	markMoves    = []byte(`"mv":`)
)

// stepOf tells which step a command is, if any.
func stepOf(cmd engine.Command) Step {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		if cmd.Request.Epoch == 0 {
			return StepTakeOver
		}
		return StepRenew
	case engine.SendRelease:
		return StepRelease
	case engine.StartTask:
		return StepStart
	case engine.CallWorker, engine.ForwardCall:
		return StepCall
	case engine.AppendGroup:
		return stepOfAppend(cmd)
	}
	return ""
}

func stepOfAppend(cmd engine.AppendGroup) Step {
	group := bytes.Join(cmd.Group, nil)
	switch {
	case cmd.Stream == ledger.StreamName && bytes.Contains(group, markMoves):
		return StepGive
	case cmd.Stream != jobs.StreamOf(zoneA) && cmd.Stream != jobs.StreamOf(zoneB):
		return ""
	case bytes.Contains(group, markFence):
		return StepTakeOver
	case bytes.Contains(group, markAssigned):
		return StepReserve
	case bytes.Contains(group, markRequest):
		return StepClaim
	case bytes.Contains(group, markAccepted):
		return StepQueue
	}
	return ""
}

// backOf tells which step the answer to a command is, if any.
func backOf(cmd engine.ReadStream) Step {
	if cmd.Stream == configStream {
		return StepApply
	}
	return ""
}

// workerOf tells which worker a command concerns, if any.
func workerOf(cmd engine.Command) ident.WorkerID {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		return cmd.Key.Worker
	case engine.SendRelease:
		return cmd.Key.Worker
	case engine.StartTask:
		return cmd.Worker
	case engine.CallWorker:
		return cmd.Worker
	}
	return ""
}

// reached tells the cell that a step is about to happen on a host.
func (w *World) reached(step Step, h *host, worker ident.WorkerID) {
	if step != "" && w.onStep != nil {
		w.onStep(step, h, worker)
	}
}
