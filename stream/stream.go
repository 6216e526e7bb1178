// Package stream holds what the machines that live on one stream of the log
// have in common: the events and commands of reading and appending, one read
// and one append at a time.
package stream

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Event is something that happened to a machine that lives on a stream.
type Event interface{ StreamEvent() }

// Command is something that such a machine wants done or known.
type Command interface{ StreamCommand() }

// Tag names one read or one append of this process.
type Tag uint64

// Tick lets time pass.
type Tick struct{}

// PageRead answers the Read command with the same tag.
type PageRead struct {
	Tag  Tag
	Page ports.Page
}

// ReadFailed reports that the Read command with the same tag brought nothing.
type ReadFailed struct{ Tag Tag }

// AppendDone reports that the group was appended.
type AppendDone struct{ Tag Tag }

// AppendFailed reports that the group got no answer, or a refusal. Certain
// means that the group was not and will not be appended; it is false for a
// *ports.UncertainError and only for that.
type AppendFailed struct {
	Tag     Tag
	Certain bool
}

// StreamEvent marks an event.
func (Tick) StreamEvent() {}

// StreamEvent marks an event.
func (PageRead) StreamEvent() {}

// StreamEvent marks an event.
func (ReadFailed) StreamEvent() {}

// StreamEvent marks an event.
func (AppendDone) StreamEvent() {}

// StreamEvent marks an event.
func (AppendFailed) StreamEvent() {}

// Append asks to append the group; the answer is one AppendDone or one
// AppendFailed with the same tag. At most one is open.
type Append struct {
	Stream ports.Stream
	Tag    Tag
	Group  [][]byte
}

// Read asks for a page; the answer is one PageRead or one ReadFailed with the
// same tag. A new one replaces the one before, whose answer no longer matters.
type Read struct {
	Stream ports.Stream
	Tag    Tag
	After  ports.Offset
	Limit  int
	Wait   time.Duration
}

// StreamCommand marks a command.
func (Append) StreamCommand() {}

// StreamCommand marks a command.
func (Read) StreamCommand() {}

// MalformedRecordError reports a record that cannot be read. It has no effect,
// alike on every host.
type MalformedRecordError struct {
	Cause error
}

// Error implements error.
func (e *MalformedRecordError) Error() string { return fmt.Sprintf("malformed record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedRecordError) Unwrap() error { return e.Cause }
