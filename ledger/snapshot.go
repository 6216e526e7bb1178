package ledger

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
)

// Snapshot is one part of the whole state after the record at offset At. It
// states a fact about the stream, which stays true whoever wrote it and
// whatever follows. The parts of one snapshot have the same writer and At; a
// reader uses it only with all of them.
type Snapshot struct {
	At    platform.Offset `json:"at"`
	Part  int             `json:"i"` // from zero
	Parts int             `json:"of"`

	Members []SnapshotMember `json:"m,omitempty"`
	Teams   []SnapshotTeam   `json:"t,omitempty"`
}

// SnapshotMember is a member, or a holder that was one.
type SnapshotMember struct {
	Holder ident.Holder `json:"h"`
	Zone   ident.Zone   `json:"z,omitempty"`
	Num    uint64       `json:"n"`
	Gone   bool         `json:"gone,omitempty"`
}

// SnapshotTeam is a team's limit and a part of its holdings.
type SnapshotTeam struct {
	TeamLimit
	Held []SnapshotHeld `json:"h,omitempty"`
}

// SnapshotHeld is what one holder holds.
type SnapshotHeld struct {
	Holder ident.Holder `json:"h"`
	Units  int64        `json:"u"`
}
