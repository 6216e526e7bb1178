package ports

import (
	"context"
	"net/http"
	"sync"
)

// HTTPHostList is the host list over HTTP. It keeps the last listing, and asks
// for a new one only if that has changed, when the platform sends an ETag.
// Callers must not change what List returns.
type HTTPHostList struct {
	addr   string
	caller caller

	mu   sync.Mutex
	tag  string // of last; empty if there is none
	last Listing
}

// NewHTTPHostList returns the host list at an address (IP and port).
func NewHTTPHostList(addr string, client *http.Client) *HTTPHostList {
	return &HTTPHostList{addr: addr, caller: caller{client: client}}
}

// List implements HostList.
func (h *HTTPHostList) List(ctx context.Context) (Listing, error) {
	const op = "list"
	tag, last := h.known()
	req, err := newRequest(op, http.MethodGet, "http://"+h.addr+PathHosts, nil)
	if err != nil {
		return Listing{}, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	var listing Listing
	answer, err := h.caller.exchange(ctx, op, req, &listing)
	if err != nil {
		return Listing{}, err
	}
	if answer.StatusCode == http.StatusNotModified {
		return last, nil
	}
	h.keep(answer.Header.Get("ETag"), listing)
	return listing, nil
}

func (h *HTTPHostList) known() (string, Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tag, h.last
}

func (h *HTTPHostList) keep(tag string, listing Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tag = tag
	h.last = listing
}
