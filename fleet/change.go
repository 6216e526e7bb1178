package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// PlanID names a plan. It is computed from what the plan contains, so a plan
// that was edited by hand no longer fits its identifier.
type PlanID string

const (
	// PlanWindow is the number of records after which a plan can no longer be
	// confirmed. It bounds what the fold has to remember of the past.
	PlanWindow = 1024

	// MaxOps is the greatest number of operations in one change.
	MaxOps = 1000

	// MaxRecord is the greatest size of a record, in bytes.
	MaxRecord = 512 << 10

	// formatVersion is the newest format of records and snapshots that this
	// program knows and writes; it reads every one from oldestVersion on. A new
	// operation needs a new format, so that older programs stop at it.
	formatVersion = 1
	oldestVersion = 1

	planIDBytes = 10 // bytes of the digest that make a PlanID
)

// Change is a confirmed plan as it stands in the stream.
type Change struct {
	Plan     PlanID       `json:"plan"`
	Planner  string       `json:"planner"`  // operator who asked for the plan
	Operator string       `json:"operator"` // operator who confirmed it
	At       time.Time    `json:"at"`       // wall clock at the confirmation; for people, decides nothing
	Base     ports.Offset `json:"base"`     // offset of the State that the plan was made from
	Ops      Ops          `json:"ops"`
}

// Objects lists what the change touches, in the order of its operations.
func (c *Change) Objects() []Ref {
	refs := make([]Ref, len(c.Ops))
	for i, op := range c.Ops {
		refs[i] = op.Object()
	}
	return refs
}

// planID computes the identifier of a plan from its content.
func planID(planner string, base ports.Offset, ops Ops) PlanID {
	content, err := json.Marshal(struct {
		Planner string
		Base    ports.Offset
		Ops     Ops
	}{planner, base, ops})
	if err != nil { // operations hold only what JSON can carry, save times beyond year 9999
		return ""
	}
	sum := sha256.Sum256(content)
	return PlanID(hex.EncodeToString(sum[:planIDBytes]))
}

// record is the envelope of every record of the stream. Exactly one of its
// parts is set.
type record struct {
	Version  int           `json:"v"`
	Change   *Change       `json:"change,omitempty"`
	Snapshot *snapshotPart `json:"snapshot,omitempty"`
}

// EncodeChange renders a change as a record of the stream. It returns a
// *MalformedError if the change is too large or cannot be rendered.
func EncodeChange(c *Change) ([]byte, error) {
	data, err := json.Marshal(record{Version: formatVersion, Change: c})
	if err != nil {
		return nil, &MalformedError{Detail: err.Error()}
	}
	if len(data) > MaxRecord {
		return nil, &MalformedError{Detail: "the change is larger than one record may be"}
	}
	return data, nil
}

// decodeRecord reads one record. It returns a *NewerFormatError or a
// *MalformedError.
func decodeRecord(r ports.Record) (record, error) {
	var probe struct {
		Version int `json:"v"`
	}
	if err := json.Unmarshal(r.Data, &probe); err != nil {
		return record{}, &MalformedError{Detail: "no JSON object with a format version"}
	}
	if probe.Version > formatVersion {
		return record{}, &NewerFormatError{Offset: r.Offset, Version: probe.Version}
	}
	var out record
	if err := strictJSON(r.Data, &out); err != nil {
		return record{}, err
	}
	if out.Version < oldestVersion || (out.Change == nil) == (out.Snapshot == nil) {
		return record{}, &MalformedError{Detail: "neither one change nor one snapshot"}
	}
	return out, nil
}

// strictJSON decodes data into v and refuses unknown fields and trailing data,
// with a *MalformedError.
func strictJSON(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return &MalformedError{Detail: err.Error()}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &MalformedError{Detail: "something follows the JSON value"}
	}
	return nil
}
