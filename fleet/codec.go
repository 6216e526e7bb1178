package fleet

import (
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Digest is the SHA-256 of an encoded State.
type Digest = KeyHash

// stateDoc is a State in JSON, in sorted order, so that equal States encode to
// equal bytes.
type stateDoc struct {
	Version  int          `json:"v"`
	Offset   ports.Offset `json:"offset"`
	Teams    []Team       `json:"teams,omitempty"`
	Keys     []Key        `json:"keys,omitempty"`
	Services []Service    `json:"services,omitempty"`
	Marks    []Marked     `json:"marks,omitempty"`
	Gone     []goneDoc    `json:"gone,omitempty"`
	Recent   []Applied    `json:"recent,omitempty"`
	Snapshot SnapshotInfo `json:"snapshot,omitzero"`
}

// goneDoc is a removed object.
type goneDoc struct {
	Ref Ref          `json:"ref"`
	At  ports.Offset `json:"at"`
}

// Encode renders a State with its offset, for peers and snapshots: the digest
// of the rest, then JSON. Equal States give equal bytes.
func Encode(s *State) []byte {
	doc := stateDoc{
		Version: formatVersion, Offset: s.offset, Teams: s.Teams(), Keys: s.Keys(), Services: s.Services(),
		Marks: s.Marks(), Recent: s.recent, Snapshot: s.snap,
	}
	for ref, at := range s.gone {
		doc.Gone = append(doc.Gone, goneDoc{Ref: ref, At: at})
	}
	slices.SortFunc(doc.Gone, func(a, b goneDoc) int { return a.Ref.compare(b.Ref) })
	body, err := json.Marshal(doc)
	if err != nil {
		// Only a time beyond the year 9999 cannot be rendered, and the fold
		// refuses records that hold one.
		return nil
	}
	digest := sha256.Sum256(body)
	return append(digest[:], body...)
}

// Decode reads what Encode rendered. It returns a *TornError if anything is
// missing or damaged, and a *NewerFormatError if this program is too old.
func Decode(data []byte) (*State, error) {
	if len(data) < sha256.Size {
		return nil, &TornError{Detail: "shorter than its digest"}
	}
	body := data[sha256.Size:]
	if sha256.Sum256(body) != [sha256.Size]byte(data) {
		// A State cut short could read as a smaller whole one, which would
		// drop teams and bring withdrawn marks back.
		return nil, &TornError{Detail: "its digest does not fit"}
	}
	var probe struct {
		Version int          `json:"v"`
		Offset  ports.Offset `json:"offset"`
	}
	if err := json.Unmarshal(body, &probe); err != nil {
		return nil, &TornError{Detail: err.Error()}
	}
	if probe.Version > formatVersion {
		return nil, &NewerFormatError{Offset: probe.Offset, Version: probe.Version}
	}
	var doc stateDoc
	if err := strictJSON(body, &doc); err != nil {
		return nil, &TornError{Detail: err.Error()}
	}
	return doc.state(), nil
}

// state builds the State that the document describes.
func (doc *stateDoc) state() *State {
	s := &State{
		offset: doc.Offset,
		teams:  make(map[ident.TeamID]Team, len(doc.Teams)),
		keys:   make(map[KeyID]Key, len(doc.Keys)),
		svcs:   make(map[ident.ServiceID]Service, len(doc.Services)),
		marks:  make(map[Ref]Mark, len(doc.Marks)),
		gone:   make(map[Ref]ports.Offset, len(doc.Gone)),
		recent: doc.Recent,
		snap:   doc.Snapshot,
	}
	for _, team := range doc.Teams {
		s.teams[team.ID] = team
	}
	for _, key := range doc.Keys {
		s.keys[key.ID] = key
	}
	for _, service := range doc.Services {
		s.svcs[service.ID] = service
	}
	for _, marked := range doc.Marks {
		s.marks[marked.Ref] = marked.Mark
	}
	for _, gone := range doc.Gone {
		s.gone[gone.Ref] = gone.At
	}
	return s
}
