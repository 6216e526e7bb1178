package entry

import (
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
)

// historySize is how many entries a host keeps. Hosts have no disks; what must
// last stands in the log.
const historySize = 1000

// history keeps what the host did by itself and which changes it folded, for
// operators.
type history struct {
	mu      sync.Mutex
	host    ident.HostID
	entries []admin.HistoryEntry // oldest first
	folds   map[fleet.PlanID]chan fleet.Result
}

func newHistory(host ident.HostID) *history {
	return &history{host: host, folds: map[fleet.PlanID]chan fleet.Result{}}
}

func (h *history) add(cmd engine.Noted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.push(admin.HistoryEntry{At: time.Now().UTC(), Host: h.host, Event: string(cmd.Kind), Reason: cmd.Detail})
}

func (h *history) push(entry admin.HistoryEntry) {
	if len(h.entries) == historySize {
		h.entries = append(h.entries[:0], h.entries[historySize/2:]...)
	}
	h.entries = append(h.entries, entry)
}

// folded keeps what became of a change, and tells the operator who waits.
func (h *history) folded(r fleet.Result) {
	if r.Change == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := admin.HistoryEntry{
		At:     r.Change.At,
		Host:   h.host,
		Event:  "change " + string(r.Status),
		By:     r.Change.Operator,
		Plan:   r.Change.Plan,
		Offset: r.Offset,
	}
	if refs := r.Change.Objects(); len(refs) > 0 {
		entry.Object = refs[0].String()
	}
	if r.Reason != nil {
		entry.Reason = r.Reason.Error()
	}
	h.push(entry)
	if waiting, ok := h.folds[r.Change.Plan]; ok {
		delete(h.folds, r.Change.Plan)
		waiting <- r
	}
}

// await returns where the result of folding a plan will come.
func (h *history) await(plan fleet.PlanID) <-chan fleet.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := make(chan fleet.Result, 1)
	h.folds[plan] = result
	return result
}

func (h *history) forget(plan fleet.PlanID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.folds, plan)
}

// newest returns at most limit entries, the newest first.
func (h *history) newest(limit int) []admin.HistoryEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(limit, len(h.entries))
	list := make([]admin.HistoryEntry, 0, n)
	for i := range n {
		list = append(list, h.entries[len(h.entries)-1-i])
	}
	return list
}
