package fleet

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Op is one operation of a change. The set is closed.
type Op interface {
	// Object is what the operation changes. A plan is stale if it has changed
	// since the plan was made.
	Object() Ref
	// team is the team that the operation relies on, or "". A plan is stale if
	// that team was created after the plan was made: it is another team of the
	// same name.
	team() ident.TeamID
	// apply checks the operation against a draft and carries it out.
	apply(d *draft) Rejection
	// name tells the operation apart in records.
	name() string
}

// PutTeam creates a team, or sets the share and limit of an existing one.
type PutTeam struct {
	Team   ident.TeamID `json:"team"`
	Share  int64        `json:"share"`
	Limit  int64        `json:"limit"`
	Create bool         `json:"create,omitempty"` // the team must not exist; otherwise it must
}

// RemoveTeam removes a team that has neither keys nor services.
type RemoveTeam struct {
	Team ident.TeamID `json:"team"`
}

// GiveKey makes a key valid for a team.
type GiveKey struct {
	Key  KeyID        `json:"key"`
	Team ident.TeamID `json:"team"`
	Hash KeyHash      `json:"hash"`
}

// ExpireKey lets a key end at a time; it is part of a rotation.
type ExpireKey struct {
	Key   KeyID     `json:"key"`
	Until time.Time `json:"until"` // UTC, whole seconds
}

// WithdrawKey makes a key invalid at once and for ever.
type WithdrawKey struct {
	Key KeyID `json:"key"`
}

// PutService declares a service, or changes a declared one.
type PutService struct {
	Service        ident.ServiceID `json:"service"`
	Team           ident.TeamID    `json:"team"`
	Replicas       int             `json:"replicas"`
	Need           resource.Vector `json:"need"`
	RequestTimeout time.Duration   `json:"request_timeout,omitempty"`
	Payload        string          `json:"payload,omitempty"`
}

// RemoveService removes a service; its replicas are stopped.
type RemoveService struct {
	Service ident.ServiceID `json:"service"`
}

// SetMark marks a worker, an upstream or an entry host, or takes its mark away.
type SetMark struct {
	Target Ref    `json:"target"`
	Mode   Mode   `json:"mode"` // ModeNone takes the mark away
	Reason string `json:"reason,omitempty"`
}

// Object implements Op.
func (o *PutTeam) Object() Ref { return TeamRef(o.Team) }

// Object implements Op.
func (o *RemoveTeam) Object() Ref { return TeamRef(o.Team) }

// Object implements Op.
func (o *GiveKey) Object() Ref { return KeyRef(o.Key) }

// Object implements Op.
func (o *ExpireKey) Object() Ref { return KeyRef(o.Key) }

// Object implements Op.
func (o *WithdrawKey) Object() Ref { return KeyRef(o.Key) }

// Object implements Op.
func (o *PutService) Object() Ref { return ServiceRef(o.Service) }

// Object implements Op.
func (o *RemoveService) Object() Ref { return ServiceRef(o.Service) }

// Object implements Op.
func (o *SetMark) Object() Ref { return o.Target }

func (o *PutTeam) team() ident.TeamID       { return "" }
func (o *RemoveTeam) team() ident.TeamID    { return "" }
func (o *GiveKey) team() ident.TeamID       { return o.Team }
func (o *ExpireKey) team() ident.TeamID     { return "" }
func (o *WithdrawKey) team() ident.TeamID   { return "" }
func (o *PutService) team() ident.TeamID    { return o.Team }
func (o *RemoveService) team() ident.TeamID { return "" }
func (o *SetMark) team() ident.TeamID       { return "" }

// Names of operations in records.
const (
	namePutTeam       = "put-team"
	nameRemoveTeam    = "remove-team"
	nameGiveKey       = "give-key"
	nameExpireKey     = "expire-key"
	nameWithdrawKey   = "withdraw-key"
	namePutService    = "put-service"
	nameRemoveService = "remove-service"
	nameSetMark       = "set-mark"
)

func (o *PutTeam) name() string       { return namePutTeam }
func (o *RemoveTeam) name() string    { return nameRemoveTeam }
func (o *GiveKey) name() string       { return nameGiveKey }
func (o *ExpireKey) name() string     { return nameExpireKey }
func (o *WithdrawKey) name() string   { return nameWithdrawKey }
func (o *PutService) name() string    { return namePutService }
func (o *RemoveService) name() string { return nameRemoveService }
func (o *SetMark) name() string       { return nameSetMark }

// newOp returns an empty operation by its name, or nil.
func newOp(name string) Op {
	switch name {
	case namePutTeam:
		return &PutTeam{}
	case nameRemoveTeam:
		return &RemoveTeam{}
	case nameGiveKey:
		return &GiveKey{}
	case nameExpireKey:
		return &ExpireKey{}
	case nameWithdrawKey:
		return &WithdrawKey{}
	case namePutService:
		return &PutService{}
	case nameRemoveService:
		return &RemoveService{}
	case nameSetMark:
		return &SetMark{}
	}
	return nil
}

// Ops is a list of operations that JSON can carry: each with its name.
type Ops []Op

// opEnvelope is one operation in JSON.
type opEnvelope struct {
	Op   string          `json:"op"`
	Args json.RawMessage `json:"args"`
}

// MarshalJSON implements json.Marshaler.
func (ops Ops) MarshalJSON() ([]byte, error) {
	out := make([]opEnvelope, len(ops))
	for i, op := range ops {
		args, err := json.Marshal(op)
		if err != nil {
			return nil, err
		}
		out[i] = opEnvelope{Op: op.name(), Args: args}
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler. It returns a *MalformedError for
// an operation or a field that is not known.
func (ops *Ops) UnmarshalJSON(data []byte) error {
	var in []opEnvelope
	if err := strictJSON(data, &in); err != nil {
		return err
	}
	out := make(Ops, len(in))
	for i, envelope := range in {
		op := newOp(envelope.Op)
		if op == nil {
			return &MalformedError{Detail: "unknown operation " + strconv.Quote(envelope.Op)}
		}
		if err := strictJSON(envelope.Args, op); err != nil {
			return err
		}
		out[i] = op
	}
	*ops = out
	return nil
}
