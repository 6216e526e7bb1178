// Package fakelog is an in-memory stream for tests. It answers the read and
// append commands of one state machine with the outcome that the test chooses,
// and can execute an append late or twice.
package fakelog

import (
	"flag"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Fate is the outcome of a call: whether it takes effect, and what the caller
// gets to know.
type Fate uint8

// Outcomes of a call.
const (
	Fine        Fate = iota // takes effect and is answered
	Refused                 // no effect; the answer reports that
	AnswerLost              // takes effect; the answer is lost
	RequestLost             // no effect; the request is lost, the caller cannot know
	Late                    // takes effect with LandLate; the caller cannot know
	Doubled                 // takes effect and is answered; takes effect again with LandLate
	fates
)

// Fates is the number of values of Fate, for drawing one at random.
const Fates = int(fates)

// Log is an in-memory stream.
type Log struct {
	lateGroups [][][]byte // delayed until LandLate
	records    []ports.Record
	last       ports.Offset
	// Appends is the number of groups appended, Bytes the size of their records.
	Appends int
	Bytes   int
}

// Append appends a group and returns the offset of its last record.
func (l *Log) Append(group [][]byte) ports.Offset {
	for _, data := range group {
		l.last++
		l.Bytes += len(data)
		l.records = append(l.records, ports.Record{Offset: l.last, Data: data})
	}
	l.Appends++
	return l.last
}

// Last returns the offset of the newest record.
func (l *Log) Last() ports.Offset { return l.last }

// Records returns the retained records, oldest first.
func (l *Log) Records() []ports.Record { return l.records }

// Expire drops all records before the offset.
func (l *Log) Expire(before ports.Offset) {
	n := 0
	for n < len(l.records) && l.records[n].Offset < before {
		n++
	}
	l.records = l.records[n:]
}

// First returns the offset of the oldest retained record, or the offset after
// the newest record if none is retained.
func (l *Log) First() ports.Offset {
	if len(l.records) == 0 {
		return l.last + 1
	}
	return l.records[0].Offset
}

// Read returns at most limit records after the offset.
func (l *Log) Read(after ports.Offset, limit int) ports.Page {
	page := ports.Page{First: l.First(), Last: l.last}
	skip := 0
	if after+1 > page.First {
		skip = min(int(after+1-page.First), len(l.records))
	}
	end := min(len(l.records), skip+limit)
	page.Records = append(page.Records, l.records[skip:end]...)
	return page
}

// LateGroups returns the number of groups that are delayed until LandLate.
func (l *Log) LateGroups() int { return len(l.lateGroups) }

// LandLate appends the i-th of the delayed groups.
func (l *Log) LandLate(i int) {
	group := l.lateGroups[i]
	l.lateGroups = append(l.lateGroups[:i:i], l.lateGroups[i+1:]...)
	l.Append(group)
}

// Answer executes a read or an append with the given outcome and returns the
// event that answers it. It returns nil for any other command.
func (l *Log) Answer(cmd stream.Command, fate Fate) stream.Event {
	switch cmd := cmd.(type) {
	case stream.Append:
		return l.answerAppend(cmd, fate)
	case stream.Read:
		if fate == Fine || fate == Doubled {
			return stream.PageRead{Tag: cmd.Tag, Page: l.Read(cmd.After, cmd.Limit)}
		}
		return stream.ReadFailed{Tag: cmd.Tag}
	}
	return nil
}

func (l *Log) answerAppend(cmd stream.Append, fate Fate) stream.Event {
	switch fate {
	case Refused:
		return stream.AppendFailed{Tag: cmd.Tag, Certain: true}
	case AnswerLost:
		l.Append(cmd.Group)
		return stream.AppendFailed{Tag: cmd.Tag}
	case RequestLost:
		return stream.AppendFailed{Tag: cmd.Tag}
	case Late:
		l.lateGroups = append(l.lateGroups, cmd.Group)
		return stream.AppendFailed{Tag: cmd.Tag}
	case Doubled:
		l.lateGroups = append(l.lateGroups, cmd.Group)
	}
	l.Append(cmd.Group)
	return stream.AppendDone{Tag: cmd.Tag}
}

// Calls holds the reads and appends of one state machine that are in flight.
type Calls struct {
	Log      *Log
	inFlight []stream.Command
}

// Take adds a read or an append, and returns false for any other command.
func (c *Calls) Take(cmd stream.Command) bool {
	switch cmd.(type) {
	case stream.Append, stream.Read:
		c.inFlight = append(c.inFlight, cmd)
		return true
	}
	return false
}

// Len returns the number of calls in flight.
func (c *Calls) Len() int { return len(c.inFlight) }

// Drop removes all calls without an answer.
func (c *Calls) Drop() { c.inFlight = nil }

// Answer removes the i-th call, executes it on Log with the given outcome and
// returns the event that answers it.
func (c *Calls) Answer(i int, fate Fate) stream.Event {
	cmd := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	return c.Log.Answer(cmd, fate)
}

// Append returns the index of the append in flight, or -1.
func (c *Calls) Append() int { return c.find(true) }

// Read returns the index of the oldest read in flight, or -1.
func (c *Calls) Read() int { return c.find(false) }

// find returns the index of the oldest append, or of the oldest read, or -1.
func (c *Calls) find(appends bool) int {
	for i, cmd := range c.inFlight {
		if _, ok := cmd.(stream.Append); ok == appends {
			return i
		}
	}
	return -1
}

// TakeAppend removes the append in flight without executing it and returns it,
// or false if there is none.
func (c *Calls) TakeAppend() (stream.Append, bool) {
	i := c.Append()
	if i < 0 {
		return stream.Append{}, false
	}
	cmd := c.inFlight[i].(stream.Append)
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	return cmd, true
}

// FixHistories sets the seed of a package's property tests to a fixed value and
// their number of steps to 100, unless the command line sets them. It parses
// the flags, and is called by TestMain.
func FixHistories() error {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	flag.Parse()
	return nil
}
