package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/fireflyfold/fireflyfold/ports"
)

// HostList serves a HostListState over HTTP.
type HostList struct {
	State *HostListState
	clock Clock
	life  uint64                            // tells the versions of two lives of the list apart
	view  func(ports.Listing) ports.Listing // what a zone sees of it; nil for all
}

// NewHostList returns the server of a host list.
func NewHostList(state *HostListState, clock Clock) *HostList {
	return &HostList{State: state, clock: clock, life: rand.Uint64()}
}

// ServeHTTP answers GET /hosts with the listing, by condition of its ETag, and takes a HostChange by
// POST /hosts.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		h.list(w, r)
	case http.MethodPost:
		var change HostChange
		if !readJSON(w, r, &change) {
			return
		}
		h.State.Change(h.clock(), change)
		w.WriteHeader(http.StatusNoContent)
	default:
		problem(w, http.StatusMethodNotAllowed, ports.Problem{Refusal: ports.RefusedMalformed})
	}
}

// list answers with the listing, or with 304 if the caller has it.
func (h *HostList) list(w http.ResponseWriter, r *http.Request) {
	// The version is read first: if a change shows in between, the caller gets
	// the new listing with the old tag, and merely asks once more than needed.
	version := h.State.Version(h.clock())
	listing, err := h.State.List(h.clock())
	if err != nil {
		replyError(w, r, err)
		return
	}
	tag := fmt.Sprintf("\"%x-%x\"", h.life, version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if h.view != nil {
		listing = h.view(listing)
	}
	reply(w, listing)
}
