package leader

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// maxUnreadableReported bounds the ids that unreadableEntries remembers.
	maxUnreadableReported = 1024
	// unreadableLines bounds the lines about entries that cannot be read in each unreadableWindow:
	// another program may write any number of them, and change them all the time.
	unreadableLines  = 20
	unreadableWindow = time.Minute
)

// unreadableEntries reports entries of the worker list that cannot be read: it counts each, and logs
// a line when the newest entry of an id becomes one.
type unreadableEntries struct {
	log      *logrus.Entry
	metrics  tally.Scope
	reported map[string]bool // ids of which a line was logged, until their next entry that can be read
	windowAt time.Duration   // when the present window began
	lines    int             // logged in it
}

// read reports an entry that was read at a time.
func (u *unreadableEntries) read(id string, err error, now time.Duration) {
	u.metrics.Counter("host_list_entries_unreadable").Inc(1)
	if u.reported[id] {
		return
	}
	if u.windowAt == 0 || now-u.windowAt >= unreadableWindow {
		u.windowAt, u.lines = now, 0
	}
	if u.lines == unreadableLines {
		u.metrics.Counter("host_list_entry_lines_suppressed").Inc(1)
		return
	}
	u.lines++
	if len(u.reported) < maxUnreadableReported {
		u.reported[id] = true
	}
	u.log.WithError(err).Warn("entry of the host list passed over")
}

// ended notes that the newest entry of an id can be read, or that it has none.
func (u *unreadableEntries) ended(id string) { delete(u.reported, id) }

// keep forgets the ids that are not in the list.
func (u *unreadableEntries) keep(listed map[string]bool) {
	for id := range u.reported {
		if !listed[id] {
			delete(u.reported, id)
		}
	}
}
