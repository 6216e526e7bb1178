package ports

import "time"

// Paths of the platform's HTTP interface. Bodies are JSON, durations are in
// nanoseconds.
const (
	PathLog     = "/log/"    // followed by the stream; POST appends, GET reads
	PathHosts   = "/hosts"   // GET lists, POST changes
	PathLease   = "/lease"   // POST LeaseRequest
	PathRelease = "/release" // POST ReleaseRequest
	PathStart   = "/start"   // POST StartRequest
	PathControl = "/control" // POST ControlRequest
	PathCall    = "/call"    // any method; followed by the upstream's path
)

// Headers that accompany a call to a worker. They are never handed on to the
// upstream or to the caller.
const (
	HeaderPrefix        = "Fireflyfold-"
	HeaderEpoch         = HeaderPrefix + "Epoch"
	HeaderHost          = HeaderPrefix + "Host"
	HeaderIncarnation   = HeaderPrefix + "Incarnation"
	HeaderTask          = HeaderPrefix + "Task"
	HeaderTeam          = HeaderPrefix + "Team"
	HeaderService       = HeaderPrefix + "Service"
	HeaderDeadline      = HeaderPrefix + "Deadline" // time left, in nanoseconds
	HeaderNonIdempotent = HeaderPrefix + "Non-Idempotent"
	HeaderRefusal       = HeaderPrefix + "Refusal" // set on refusals and on nothing else
)

// AppendRequest is the body of an append to the log.
type AppendRequest struct {
	Group [][]byte `json:"group"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"` // of the last record of the group
}

// ReleaseRequest is the body of a release of a control lease.
type ReleaseRequest struct {
	Class LeaseClass `json:"class"`
	Epoch Epoch      `json:"epoch"`
}

// Problem is the body of every answer that is an error.
type Problem struct {
	Refusal    Refusal       `json:"refusal,omitempty"`
	Left       time.Duration `json:"left,omitempty"`        // for RefusedHeld
	RetryAfter time.Duration `json:"retry_after,omitempty"` // for an unavailable service
	Detail     string        `json:"detail,omitempty"`
}
