package leader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/region"
)

// listReader is a workerListReader whose events, lines and counters are read.
type listReader struct {
	*workerListReader
	lines *logtest.Hook
	scope tally.TestScope
}

func newListReader(heartbeat time.Duration) *listReader {
	logger, lines := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	l := New(Config{Log: logrus.NewEntry(logger), Metrics: scope, WorkerHeartbeat: heartbeat})
	return &listReader{workerListReader: newWorkerListReader(l), lines: lines, scope: scope}
}

// events returns what the scheduler was passed since the last call, sorted.
func (r *listReader) events() []string {
	var all []string
	for {
		select {
		case ev := <-r.leader.events.Items():
			switch ev := ev.(type) {
			case region.WorkerListed:
				all = append(all, "listed "+ev.Entry.ID)
			case region.WorkerUnlisted:
				all = append(all, "unlisted "+ev.ID)
			}
		default:
			slices.Sort(all)
			return all
		}
	}
}

func (r *listReader) expect(t *testing.T, what string, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.events()); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

func (r *listReader) counter(name string) int64 {
	if c, ok := r.scope.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

var soundEntry = fakeplatform.SoundEntry("127.0.0.1:8442", 1)

// Guards against a worker that is up and gets no work, as another program wrote an entry under its
// id; and against one that stays in use without an entry of its own.
func TestUnreadableEntryUnderWorkersID(t *testing.T) {
	ctx := context.Background()
	r := newListReader(time.Hour)
	r.apply(ctx, "i-1", soundEntry)
	r.expect(t, "its own entry", "listed i-1")
	r.apply(ctx, "i-1", []byte("{"))
	r.unlistSuperseded(ctx)
	r.expect(t, "an entry of another program")
	r.apply(ctx, "i-1", soundEntry)
	r.expect(t, "its next entry", "listed i-1")
	if len(r.supersededAt) > 0 {
		t.Error("its next entry does not count")
	}
	r.apply(ctx, "i-1", []byte("{"))
	r.apply(ctx, "i-1", nil)
	r.expect(t, "removed", "unlisted i-1")
	r.apply(ctx, "i-1", soundEntry)
	r.apply(ctx, "i-1", []byte("{"))
	r.supersededAt["i-1"] = boottime.Now() - 3*time.Hour - time.Second
	r.apply(ctx, "i-1", []byte("["))
	r.unlistSuperseded(ctx)
	r.expect(t, "no entry of its own for three heartbeat intervals", "listed i-1", "unlisted i-1")
	r.apply(ctx, "i-2", []byte("{"))
	r.unlistSuperseded(ctx)
	r.expect(t, "an entry under a free id")
}

// Guards against a worker that drains and gets work: the log dropped its history, and the whole list
// has an entry of another program in place of the one that says so.
func TestUnreadableEntryInWholeList(t *testing.T) {
	ctx := context.Background()
	r := newListReader(time.Hour)
	r.applyList(ctx, workerList{items: []platform.KeyedRecord{{Key: "i-1", Value: soundEntry}, {Key: "i-2", Value: soundEntry}}})
	r.expect(t, "the first list", "listed i-1", "listed i-2")
	r.applyList(ctx, workerList{items: []platform.KeyedRecord{{Key: "i-1", Value: []byte("{")}, {Key: "i-2", Value: soundEntry}}})
	r.expect(t, "the next list", "listed i-2", "unlisted i-1")
}

// Guards against log lines and memory that grow with the entries of another program, which may be many
// and change all the time.
func TestLinesAboutUnreadableEntriesAreBounded(t *testing.T) {
	ctx := context.Background()
	r := newListReader(time.Hour)
	for range 3 {
		r.apply(ctx, "agent", []byte("{"))
	}
	if n := len(r.lines.AllEntries()); n != 1 {
		t.Errorf("%d lines about one entry that does not change, want 1", n)
	}
	r.apply(ctx, "agent", nil)
	r.apply(ctx, "agent", []byte("{"))
	if n := len(r.lines.AllEntries()); n != 2 {
		t.Errorf("%d lines about an entry that came back, want 2", n)
	}
	const entries = 5000
	for round := range 3 {
		for i := range entries {
			r.apply(ctx, fmt.Sprintf("agent-%d-%d", round, i), []byte("{"))
		}
	}
	if n := len(r.lines.AllEntries()); n > 2*unreadableLines {
		t.Errorf("%d lines about %d entries", n, 3*entries)
	}
	if n := len(r.unreadable.reported); n > maxUnreadableReported {
		t.Errorf("%d ids are remembered", n)
	}
	if read, suppressed := r.counter("host_list_entries_unreadable"), r.counter("host_list_entry_lines_suppressed"); read != 3*entries+4 || suppressed < 3*entries-2*unreadableLines {
		t.Errorf("%d entries counted, %d lines suppressed", read, suppressed)
	}
	r.expect(t, "entries of another program")
	r.applyList(ctx, workerList{})
	if n := len(r.unreadable.reported); n > 0 {
		t.Errorf("%d ids are remembered that are not in the list", n)
	}
}
