package fleet

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Intent is what an operator wants to hold. What it does not mention stays as
// it is.
type Intent struct {
	Teams    []WantTeam    `json:"teams,omitempty"`
	Keys     []WantKey     `json:"keys,omitempty"`
	Services []WantService `json:"services,omitempty"`
	Marks    []WantMark    `json:"marks,omitempty"`
}

// WantTeam wants a team to exist with a share and a limit, or not to exist.
type WantTeam struct {
	Team   ident.TeamID `json:"team"`
	Share  *int64       `json:"share,omitempty"` // nil keeps it; 1 for a new team
	Limit  *int64       `json:"limit,omitempty"` // nil keeps it; required for a new team
	Absent bool         `json:"absent,omitempty"`
}

// KeyAction is what is wanted of a key.
type KeyAction string

// The actions on keys.
const (
	KeyGive     KeyAction = "give"     // make a new key valid
	KeyRotate   KeyAction = "rotate"   // make a new key valid and let an old one end after an overlap
	KeyWithdraw KeyAction = "withdraw" // make a key invalid at once
)

// WantKey wants an action on a key. The key itself is never part of an intent:
// who asks draws it with NewKey and sends its identifier and hash.
type WantKey struct {
	Action  KeyAction     `json:"action"`
	Team    ident.TeamID  `json:"team,omitempty"`    // for KeyGive
	Key     KeyID         `json:"key,omitempty"`     // new for KeyGive and KeyRotate; the one to withdraw
	Hash    KeyHash       `json:"hash,omitzero"`     // of the new key
	Old     KeyID         `json:"old,omitempty"`     // for KeyRotate
	Overlap time.Duration `json:"overlap,omitempty"` // for KeyRotate; how long both keys are valid
}

// WantService wants a service to be declared, or to be absent. Fields that are
// nil are kept; a new service needs Team.
type WantService struct {
	Service        ident.ServiceID  `json:"service"`
	Team           *ident.TeamID    `json:"team,omitempty"`
	Replicas       *int             `json:"replicas,omitempty"`
	Need           *resource.Vector `json:"need,omitempty"`
	RequestTimeout *time.Duration   `json:"request_timeout,omitempty"`
	Payload        *string          `json:"payload,omitempty"`
	Absent         bool             `json:"absent,omitempty"`
}

// WantMark wants a mark on a worker, an upstream or an entry host, or none.
type WantMark struct {
	Target Ref    `json:"target"`
	Mode   Mode   `json:"mode"`
	Reason string `json:"reason,omitempty"`
}
