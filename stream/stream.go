// Package stream has the parts that state machines on one stream of the log
// share: the events and commands for reading and appending, with one read and
// one append in flight at a time.
package stream

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Event is an input of a state machine on a stream.
type Event interface{ StreamEvent() }

// Command is an output of a state machine on a stream, for its caller to execute.
type Command interface{ StreamCommand() }

// Tag identifies one read or one append of a Reader or an Appender, and matches
// the answer to it.
type Tag uint64

// Tick reports that time has passed.
type Tick struct{}

// PageRead answers the Read command with the same tag.
type PageRead struct {
	Tag  Tag
	Page ports.Page
}

// ReadFailed reports that the Read command with the same tag failed.
type ReadFailed struct{ Tag Tag }

// AppendDone reports that the group of the Append command with the same tag was
// appended.
type AppendDone struct{ Tag Tag }

// AppendFailed reports that the Append command with the same tag was refused or
// not answered. Certain means that the group was not and will not be appended;
// it is false for a *ports.UncertainError, and only for that.
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

// Append requests that the group be appended. It is answered by one AppendDone
// or one AppendFailed with the same tag. At most one is in flight.
type Append struct {
	Stream ports.Stream
	Tag    Tag
	Group  [][]byte
}

// Read requests a page of at most Limit records after the offset After. It is
// answered by one PageRead or one ReadFailed with the same tag. A new Read
// replaces the one before, whose answer is then ignored.
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

// MalformedRecordError reports a record that cannot be decoded. Every host
// ignores such a record, which keeps their states equal.
type MalformedRecordError struct {
	Cause error
}

// Error implements error.
func (e *MalformedRecordError) Error() string { return fmt.Sprintf("malformed record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedRecordError) Unwrap() error { return e.Cause }
