package engine

import (
	"errors"

	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// stepStream passes an answer of the log to the state machine of its stream.
func (e *Engine) stepStream(ev Event) {
	switch ev := ev.(type) {
	case StreamRead:
		if ev.Stream == ConfigStream {
			e.configRead(ev)
			return
		}
		e.stepMachine(ev.Stream, stream.PageRead{Tag: ev.Tag, Page: ev.Page})
	case StreamFailed:
		if ev.Stream == ConfigStream {
			e.configReadFailed(ev)
			return
		}
		e.stepMachine(ev.Stream, stream.ReadFailed{Tag: ev.Tag})
	case Appended:
		e.stepMachine(ev.Stream, appendResult(ev))
	}
}

func (e *Engine) stepMachine(name ports.Stream, ev stream.Event) {
	switch name {
	case ledger.StreamName:
		e.stepUnits(ev)
	case jobs.StreamOf(e.opts.Zone):
		e.stepOwner(ev)
	case ConfigStream:
		e.configAppended(ev)
	}
}

// appendResult converts the answer to an append. After a failure the append may
// have taken effect, unless the failure certainly happened before it.
func appendResult(ev Appended) stream.Event {
	if ev.Err == nil {
		return stream.AppendDone{Tag: ev.Tag}
	}
	return stream.AppendFailed{Tag: ev.Tag, Certain: certainFailure(ev.Err)}
}

func certainFailure(err error) bool {
	var notSent *ports.NotSentError
	var unavailable *ports.UnavailableError
	var refused *ports.RefusedError
	return errors.As(err, &notSent) || errors.As(err, &unavailable) || errors.As(err, &refused)
}

func (e *Engine) configAppended(ev stream.Event) {
	switch ev := ev.(type) {
	case stream.AppendDone:
		e.config.appender.Done(ev.Tag)
	case stream.AppendFailed:
		e.config.appender.Failed(e.now, ev.Tag)
	}
}
