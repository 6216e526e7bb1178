package admin

import (
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Seconds is a length of time in seconds.
type Seconds float64

// SecondsOf converts a duration.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Duration converts to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Confirmation tells what became of a confirmed plan.
type Confirmation struct {
	Plan    fleet.PlanID `json:"plan"`
	Offset  ports.Offset `json:"offset"`            // where it stands in the stream
	Already bool         `json:"already,omitempty"` // it was in force before this confirmation
}

// Status is the whole fleet as one entry host sees it.
type Status struct {
	Host     ident.HostID   `json:"host"` // who says this
	Zone     ident.Zone     `json:"zone"`
	At       time.Time      `json:"at"` // wall clock of that host
	Config   ConfigStatus   `json:"config"`
	Zones    []ZoneStatus   `json:"zones"`
	Hosts    []HostStatus   `json:"hosts"`
	Queues   []QueueStatus  `json:"queues"`
	Teams    []TeamStatus   `json:"teams"`
	Degraded []Degradation  `json:"degraded"` // empty when all is well
	Recent   []HistoryEntry `json:"recent"`   // the last few entries of the history
}

// Source says where the configuration last came from.
type Source string

// The sources of the configuration.
const (
	SourceNone Source = "none" // none yet: the host admits nothing
	SourceLog  Source = "log"
	SourcePeer Source = "peer"
)

// ConfigStatus says how new the host's configuration is.
type ConfigStatus struct {
	Offset       ports.Offset `json:"offset"`
	Age          Seconds      `json:"age_seconds"` // since the host last knew it to be the newest
	Source       Source       `json:"source"`
	LogReachable bool         `json:"log_reachable"`
}

// ZoneStatus is one availability zone.
type ZoneStatus struct {
	Zone      ident.Zone      `json:"zone"`
	Region    string          `json:"region,omitempty"`
	Reachable bool            `json:"reachable"`   // a host of the zone answered lately
	Age       Seconds         `json:"age_seconds"` // of what is said here
	Hosts     int             `json:"hosts"`
	Workers   int             `json:"workers"`   // listed
	Leased    int             `json:"leased"`    // whose control leases are held
	Impaired  int             `json:"impaired"`  // quarantined, marked or leaving
	Size      resource.Vector `json:"size"`      // of all leased workers
	Used      resource.Vector `json:"used"`      // reserved on them
	Scheduler ident.HostID    `json:"scheduler"` // host that schedules durable work; empty if none is known
}

// HostStatus is one entry host.
type HostStatus struct {
	Host      ident.HostID      `json:"host"`
	Zone      ident.Zone        `json:"zone"`
	State     string            `json:"state"` // live, leaving, draining or silent
	Age       Seconds           `json:"age_seconds"`
	Config    ports.Offset      `json:"config"` // offset of its configuration
	InFlight  int               `json:"in_flight"`
	Waiting   int               `json:"waiting"`
	Workers   int               `json:"workers"` // whose slots lease it holds
	Scheduler bool              `json:"scheduler,omitempty"`
	Mark      fleet.Mode        `json:"mark,omitempty"`
	Started   Seconds           `json:"up_seconds"`
	Life      ident.Incarnation `json:"incarnation"`
}

// WorkerStatus is one worker.
type WorkerStatus struct {
	Worker       ident.WorkerID    `json:"worker"`
	Zone         ident.Zone        `json:"zone"`
	Rack         string            `json:"rack"`
	State        string            `json:"state"` // live, leaving, quarantined, unreachable or unleased
	Why          string            `json:"why,omitempty"`
	Mark         fleet.Mode        `json:"mark,omitempty"`          // on the whole worker
	UpstreamMark fleet.Mode        `json:"upstream_mark,omitempty"` // on its upstreams
	Slots        ident.HostID      `json:"slots_holder,omitempty"`
	Compute      ident.HostID      `json:"compute_holder,omitempty"`
	Size         resource.Vector   `json:"size"`
	Used         resource.Vector   `json:"used"`
	Tasks        int               `json:"tasks"`
	Requests     int               `json:"requests"`
	Services     []ident.ServiceID `json:"services,omitempty"`
}

// QueueStatus is what waits in one zone for one kind of work.
type QueueStatus struct {
	Zone    ident.Zone `json:"zone"`
	Kind    work.Kind  `json:"kind"`
	Waiting int        `json:"waiting"`
	Oldest  Seconds    `json:"oldest_seconds"`
	Running int        `json:"running"`
}

// TeamStatus is one team against its share and limit.
type TeamStatus struct {
	Team     ident.TeamID `json:"team"`
	Share    int64        `json:"share"`
	Entitled float64      `json:"entitled"` // fraction of the fleet that the share stands for
	Using    float64      `json:"using"`    // dominant fraction of the fleet in use
	Limit    int64        `json:"limit"`    // units
	Units    int64        `json:"units"`    // units in use, as far as known
	Waiting  int          `json:"waiting"`
	Keys     int          `json:"keys"`
	Partial  bool         `json:"partial,omitempty"` // a zone could not be asked
}

// KeyState says whether a key is accepted.
type KeyState = string

// The states of a key.
const (
	KeyValid     KeyState = "valid"
	KeyEnding    KeyState = "ending"    // rotated; valid until KeyStatus.Until
	KeyEnded     KeyState = "ended"     // rotated, and the overlap is over
	KeyWithdrawn KeyState = "withdrawn" // remembered for fleet.PlanWindow records
)

// KeyStatus is one key; never the key itself.
type KeyStatus struct {
	Key     fleet.KeyID  `json:"key"`
	Team    ident.TeamID `json:"team,omitempty"` // empty for a withdrawn key
	State   KeyState     `json:"state"`
	Until   time.Time    `json:"until,omitzero"`
	Changed ports.Offset `json:"changed"` // offset of the last change
	By      string       `json:"by,omitempty"`
	Plan    fleet.PlanID `json:"plan,omitempty"`
}

// Degradation is something that does not work as it should.
type Degradation struct {
	What  string  `json:"what"`  // what is seen
	Means string  `json:"means"` // what it means for callers
	Do    string  `json:"do"`    // what to do; "nothing" if the system repairs it alone
	Since Seconds `json:"since_seconds"`
}

// HistoryEntry is one thing that the system or an operator did.
type HistoryEntry struct {
	At     time.Time    `json:"at"`
	Host   ident.HostID `json:"host,omitempty"` // who did it
	Event  string       `json:"event"`          // takeover, quarantine, displacement, change, rejection ...
	Object string       `json:"object"`
	Reason string       `json:"reason"`
	By     string       `json:"by,omitempty"` // operator, for a change
	Plan   fleet.PlanID `json:"plan,omitempty"`
	Offset ports.Offset `json:"offset,omitempty"`
}

// Explanation says where a job stands and why.
type Explanation struct {
	Job     ident.JobID  `json:"job"`
	State   string       `json:"state"` // waiting, running, ended, cancelled
	Team    ident.TeamID `json:"team"`
	Kind    work.Kind    `json:"kind"`
	Waited  Seconds      `json:"waited_seconds"`
	Outcome string       `json:"outcome,omitempty"` // once it ended
	Words   []string     `json:"words"`             // the reasons, a sentence each
}
