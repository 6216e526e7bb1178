// Package settings reads the INI file of one entry host and checks it whole:
// every bad field is reported at once, with its section, key and value and
// what is allowed. A key or section that is not known is an error, so that a
// misspelt key cannot silently leave a default in force.
package settings

import (
	"net/netip"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Settings are the checked settings of one entry host.
type Settings struct {
	Host      Host
	Platform  Platform
	Zones     []Zone // at least one, in the order of the file; includes Host.Zone
	Peers     Peers
	Lease     Lease
	Limits    Limits
	Config    Config
	Telemetry Telemetry
	TLS       TLS
	Policy    Policy
	Log       Log
	Operators []Operator // sorted by name
}

// Host says which entry host this is and where it listens.
type Host struct {
	Name ident.HostID
	Zone ident.Zone
	API  netip.AddrPort // callers and operators
	Peer netip.AddrPort // other entry hosts
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log   netip.AddrPort // append-only log
	Hosts netip.AddrPort // host list
	// ListLag is how far the host list may be behind. Limit units of a dead
	// host are taken over no sooner than twice this.
	ListLag time.Duration
}

// Zone is one configured availability zone. Home zones of idempotency keys are
// hashed over the configured zones, so every host must be given the same set.
type Zone struct {
	Name   ident.Zone
	Region string // empty if none was given
}

// Peers governs calls between entry hosts.
type Peers struct {
	Secret []byte           // authenticates entry hosts to each other; at least MinSecretLen bytes
	Seeds  []netip.AddrPort // peers asked at start when the host list cannot be read
}

// Lease holds the lengths of leases.
type Lease struct {
	TTL     time.Duration // control lease on a worker
	TaskTTL time.Duration // how long tasks outlive the control lease; more than TTL
	Drift   float64       // greatest relative error of a clock's rate, at least 0 and below 0.5
}

// Limits bounds what callers can make this host hold.
type Limits struct {
	MaxBody        int64         // bytes of one request body
	BodyMemory     int64         // bytes of all request bodies held at once; at least MaxBody
	MaxHeader      int64         // bytes of one request's header
	MaxConnections int           // open connections of callers
	MaxWaiting     int           // requests waiting for a slot
	RequestTimeout time.Duration // longest time a request may take; also the default deadline
	HeaderTimeout  time.Duration // longest time a caller may take to send the header
	BodyTimeout    time.Duration // longest time a caller may take to send the body
	IdleTimeout    time.Duration // longest time a connection may stay idle
	DrainTimeout   time.Duration // longest time a planned stop waits for work in flight
}

// Config governs how the configuration is followed.
type Config struct {
	Poll   time.Duration // longest wait of one read of the log, and the pause between exchanges with peers
	MaxAge time.Duration // beyond this age of the configuration new work is refused; zero serves on
	// Snapshot is the time between two snapshots in the configuration's stream.
	// It must be well below the time that the log keeps records.
	Snapshot time.Duration
}

// Telemetry says what is exported.
type Telemetry struct {
	Metrics   bool   // serve metrics for scraping on the API address
	OTLP      string // URL of an OTLP/HTTP collector; empty for none
	TraceFile string // file that spans are appended to; empty for none
	Sample    float64
}

// TLS names the certificate and key that callers are served with. Both are
// empty when callers are served without TLS.
type TLS struct {
	Certificate string // path of a PEM file
	Key         string // path of a PEM file
}

// Enabled reports whether callers are served over TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Placement is the policy by which a task of a batch job gets one of the workers
// that it fits.
type Placement string

// The placement policies.
const (
	PlacementSpread Placement = "spread" // most free first; failures cost least
	PlacementPack   Placement = "pack"   // least free first; leaves room for large tasks
)

// Policy chooses among the ways of placing durable work.
type Policy struct {
	Batch    Placement
	Displace bool // urgent jobs may displace displaceable tasks
	Backfill bool // small jobs may pass a large one that waits, if they do not delay it
}

// Log governs log lines.
type Log struct {
	Level string // error, warn, info or debug
}

// Operator may plan and confirm changes. The file holds only the SHA-256 of
// the operator's token.
type Operator struct {
	Name      string
	TokenHash [32]byte
}
