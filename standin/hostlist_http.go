package standin

import (
	"net/http"

	"github.com/fireflyfold/fireflyfold/platform"
)

// HostList serves a HostListState over HTTP.
type HostList struct {
	State *HostListState
	clock Clock
	view  func(platform.Listing) platform.Listing // what a zone sees of it; nil for all
}

// NewHostList returns the server of a host list.
func NewHostList(state *HostListState, clock Clock) *HostList {
	return &HostList{State: state, clock: clock}
}

// ServeHTTP answers GET /hosts with the listing and takes a HostChange by
// POST /hosts.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		listing, err := h.State.List(h.clock())
		if err != nil {
			replyError(w, r, err)
			return
		}
		if h.view != nil {
			listing = h.view(listing)
		}
		reply(w, listing)
	case http.MethodPost:
		var change HostChange
		if !readJSON(w, r, &change) {
			return
		}
		h.State.Change(h.clock(), change)
		w.WriteHeader(http.StatusNoContent)
	default:
		problem(w, http.StatusMethodNotAllowed, platform.Problem{Refusal: platform.RefusedMalformed})
	}
}
