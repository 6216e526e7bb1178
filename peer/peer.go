// Package peer carries calls between entry hosts: digests, forwarded requests,
// job calls for another zone, and the records a cut-off host cannot read.
//
// A stranger who reaches the port can do nothing: every call must carry the
// shared secret of the deployment, compared in constant time.
package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/propagation"

	"github.com/fireflyfold/fireflyfold/connlimit"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
)

// Transport constants.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	idleConnsByPeer = 16
	// connsByPeer bounds what one slow peer can hold of this host.
	connsByPeer = 128
)

// frameBytes is what precedes the message of a streaming call.
const frameBytes = 5

const (
	authHeader = "Authorization"
	authScheme = "Bearer "
)

// Secret is the shared secret of a deployment's entry hosts.
type Secret string

// matches compares in constant time, and hashes first so that the length of
// the secret does not show either.
func (s Secret) matches(header string) bool {
	want := sha256.Sum256([]byte(authScheme + string(s)))
	have := sha256.Sum256([]byte(header))
	return subtle.ConstantTimeCompare(want[:], have[:]) == 1
}

// NewHandler serves impl to callers that know the secret and refuses others
// with 401. Calls have at most maxBytes and are not compressed.
func NewHandler(impl peerv1.PeerServiceHandler, secret Secret, maxBytes int64) http.Handler {
	path, service := peerv1.NewPeerServiceHandler(impl, connect.WithReadMaxBytes(int(maxBytes)), connect.WithCompression("gzip", nil, nil))
	mux := http.NewServeMux()
	mux.Handle(path, connlimit.Buffer(service, maxBytes+frameBytes))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !secret.matches(r.Header.Get(authHeader)) {
			w.Header().Set("Connection", "close") // a stranger holds no connection
			http.Error(w, "unauthenticated", http.StatusUnauthorized)
			return
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Clients keeps one client for each peer address. It is safe for concurrent
// use.
type Clients struct {
	http *http.Client

	mu     sync.Mutex
	byAddr map[string]peerv1.PeerServiceClient
}

// NewClients returns clients that present secret.
func NewClients(secret Secret) *Clients {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsByPeer,
		MaxConnsPerHost:     connsByPeer,
		IdleConnTimeout:     idleTimeout,
	}
	return &Clients{
		http:   &http.Client{Transport: &signer{next: base, secret: secret}},
		byAddr: map[string]peerv1.PeerServiceClient{},
	}
}

// At returns the client for the peer that listens at addr (IP:port).
func (c *Clients) At(addr string) peerv1.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddr[addr]; ok {
		return client
	}
	client := peerv1.NewPeerServiceClient(c.http, "http://"+addr)
	c.byAddr[addr] = client
	return client
}

// Close drops idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// signer adds the secret and the trace context to each call.
type signer struct {
	next   http.RoundTripper
	secret Secret
}

// RoundTrip implements http.RoundTripper.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(authHeader, authScheme+string(s.secret))
	propagation.TraceContext{}.Inject(r.Context(), propagation.HeaderCarrier(r.Header))
	return s.next.RoundTrip(r)
}
