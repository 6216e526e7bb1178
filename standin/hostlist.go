package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// HostChange changes the host list. Entries replace those with the same name.
type HostChange struct {
	Hosts       []ports.HostEntry   `json:"hosts,omitempty"`
	Workers     []ports.WorkerEntry `json:"workers,omitempty"`
	GoneHosts   []ident.HostID      `json:"gone_hosts,omitempty"`
	GoneWorkers []ident.WorkerID    `json:"gone_workers,omitempty"`
}

// pendingChange is a change that the list does not show yet.
type pendingChange struct {
	shown  time.Duration
	change HostChange
}

// HostListState is the state machine of the host list. It shows every change
// after its lag. It observes nothing by itself and reads no clock.
type HostListState struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	version uint64 // counts the changes that are shown
	pending []pendingChange
	hosts   map[ident.HostID]ports.HostEntry
	workers map[ident.WorkerID]ports.WorkerEntry
}

// NewHostListState returns an empty list.
func NewHostListState(lag time.Duration) *HostListState {
	return &HostListState{
		lag:     lag,
		hosts:   make(map[ident.HostID]ports.HostEntry),
		workers: make(map[ident.WorkerID]ports.WorkerEntry),
	}
}

// Change takes a change that shows after the lag.
func (h *HostListState) Change(now time.Duration, change HostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, pendingChange{shown: now + h.lag, change: change})
}

// SetLag replaces the lag of the changes to come.
func (h *HostListState) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// SetDown switches an outage of the list on or off.
func (h *HostListState) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Version returns a number that grows with every change that the list shows.
func (h *HostListState) Version(now time.Duration) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.show(now)
	return h.version
}

// List returns what the list shows, in order of names. It returns a *DownError
// during an outage.
func (h *HostListState) List(now time.Duration) (ports.Listing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return ports.Listing{}, &DownError{Op: "list"}
	}
	h.show(now)
	var out ports.Listing
	for _, entry := range h.hosts {
		out.Hosts = append(out.Hosts, entry)
	}
	for _, entry := range h.workers {
		out.Workers = append(out.Workers, entry)
	}
	slices.SortFunc(out.Hosts, func(a, b ports.HostEntry) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(out.Workers, func(a, b ports.WorkerEntry) int { return cmp.Compare(a.Worker, b.Worker) })
	return out, nil
}

// show applies the changes whose lag has passed, in the order of their making.
func (h *HostListState) show(now time.Duration) {
	for len(h.pending) > 0 && h.pending[0].shown <= now {
		h.apply(h.pending[0].change)
		h.pending = h.pending[1:]
	}
}

func (h *HostListState) apply(change HostChange) {
	h.version++
	for _, entry := range change.Hosts {
		h.hosts[entry.Host] = entry
	}
	for _, entry := range change.Workers {
		h.workers[entry.Worker] = entry
	}
	for _, host := range change.GoneHosts {
		delete(h.hosts, host)
	}
	for _, worker := range change.GoneWorkers {
		delete(h.workers, worker)
	}
}
