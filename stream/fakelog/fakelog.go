// Package fakelog is a stream in memory for tests: it answers the read and
// append commands of one machine's Step with the fate that the test chooses,
// and can let an append land late or twice.
package fakelog

import (
	"flag"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Fate is what becomes of a call.
type Fate uint8

// The fates of a call.
const (
	Fine        Fate = iota // takes effect and is answered
	Refused                 // no effect, and the answer says so
	AnswerLost              // takes effect, the answer is lost
	RequestLost             // no effect, the caller cannot know
	Late                    // no effect yet, the caller cannot know; lands with LandLate
	Doubled                 // takes effect and is answered; lands once more with LandLate
	fates
)

// Fates is the number of fates, for drawing one.
const Fates = int(fates)

// Log is one stream.
type Log struct {
	groups  [][][]byte // that wait for LandLate
	records []ports.Record
	last    ports.Offset
	// Appends counts the groups that landed, Bytes what they carried.
	Appends int
	Bytes   int
}

// Append lands a group and returns the offset of its last record.
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

// Records returns what is retained.
func (l *Log) Records() []ports.Record { return l.records }

// Expire drops all records before the offset.
func (l *Log) Expire(before ports.Offset) {
	n := 0
	for n < len(l.records) && l.records[n].Offset < before {
		n++
	}
	l.records = l.records[n:]
}

// First returns the offset of the oldest record that is retained.
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

// LateGroups returns the number of groups that wait for LandLate.
func (l *Log) LateGroups() int { return len(l.groups) }

// LandLate lands the i-th of the groups that wait.
func (l *Log) LandLate(i int) {
	group := l.groups[i]
	l.groups = append(l.groups[:i:i], l.groups[i+1:]...)
	l.Append(group)
}

// Answer gives the event that answers a read or an append. It returns nil for
// any other command.
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
		l.groups = append(l.groups, cmd.Group)
		return stream.AppendFailed{Tag: cmd.Tag}
	case Doubled:
		l.groups = append(l.groups, cmd.Group)
	}
	l.Append(cmd.Group)
	return stream.AppendDone{Tag: cmd.Tag}
}

// Calls are the reads and appends of one machine that are not answered yet.
type Calls struct {
	Log  *Log
	open []stream.Command
}

// Take keeps a read or an append, and reports false for any other command.
func (c *Calls) Take(cmd stream.Command) bool {
	switch cmd.(type) {
	case stream.Append, stream.Read:
		c.open = append(c.open, cmd)
		return true
	}
	return false
}

// Len returns the number of open calls.
func (c *Calls) Len() int { return len(c.open) }

// Drop forgets all open calls.
func (c *Calls) Drop() { c.open = nil }

// Answer returns the event that answers the i-th open call.
func (c *Calls) Answer(i int, fate Fate) stream.Event {
	cmd := c.open[i]
	c.open = append(c.open[:i:i], c.open[i+1:]...)
	return c.Log.Answer(cmd, fate)
}

// Append returns the place of the open append, or -1.
func (c *Calls) Append() int { return c.find(true) }

// Read returns the place of the oldest open read, or -1.
func (c *Calls) Read() int { return c.find(false) }

func (c *Calls) find(want bool) int {
	for i, cmd := range c.open {
		if _, ok := cmd.(stream.Append); ok == want {
			return i
		}
	}
	return -1
}

// TakeAppend takes the open append away from the calls.
func (c *Calls) TakeAppend() (stream.Append, bool) {
	i := c.Append()
	if i < 0 {
		return stream.Append{}, false
	}
	cmd := c.open[i].(stream.Append)
	c.open = append(c.open[:i:i], c.open[i+1:]...)
	return cmd, true
}

// FixHistories gives the property tests of a package a fixed seed and long
// histories, unless the command line says otherwise. It is called by TestMain.
func FixHistories() error {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	flag.Parse()
	return nil
}
