package ledger

import (
	"encoding/json"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// StreamName names the ledger's stream.
const StreamName ports.Stream = "limits"

// Record is the envelope of everything in the stream. Exactly one of the
// bodies is set.
type Record struct {
	Writer ident.Holder `json:"w"`
	// Num counts the writer's records from one. A record is void unless its
	// number is above every earlier one of its writer, so a doubled record or
	// one that arrives late, after its writer went on without it, does nothing.
	Num uint64 `json:"n"`

	Join     *Join     `json:"join,omitempty"`
	Limits   *Limits   `json:"lim,omitempty"`
	Moves    *Moves    `json:"mv,omitempty"`
	Reclaim  *Reclaim  `json:"rec,omitempty"`
	Leave    *Leave    `json:"leave,omitempty"`
	Reset    *Reset    `json:"reset,omitempty"`
	Snapshot *Snapshot `json:"snap,omitempty"`
}

// Join makes the writer a member that can hold units. It starts with none.
type Join struct {
	Zone ident.Zone `json:"z"`
}

// Limits states the limits that a configuration gives.
type Limits struct {
	Teams []TeamLimit `json:"t"`
}

// TeamLimit is a team's upper limit in units. Version is the offset of the
// configuration that set it; of two limits the higher version is in force,
// whichever comes later in the stream.
type TeamLimit struct {
	Team    ident.TeamID `json:"t"`
	Limit   int64        `json:"l"`
	Version ports.Offset `json:"v"`
}

// Moves gives units away. The writer must have stopped using them. Each move
// stands alone: one that is not covered is void, the others hold.
type Moves struct {
	Transfers []Transfer `json:"g,omitempty"`
	GiveBacks []GiveBack `json:"b,omitempty"`
}

// Transfer moves units of the writer to another member.
type Transfer struct {
	Team  ident.TeamID `json:"t"`
	To    ident.Holder `json:"to"`
	Units int64        `json:"u"`
}

// GiveBack destroys units of the writer, at most as many as the team has above
// its limit.
type GiveBack struct {
	Team  ident.TeamID `json:"t"`
	Units int64        `json:"u"`
}

// Reclaim moves everything that Dead holds to the writer and ends Dead's
// membership for good. It is written only on proof; see Reclaimer. It is void
// if Dead has written anything after Num, which was Dead's highest number when
// the proof stood: a holder that comes back writes before it uses units again.
type Reclaim struct {
	Dead ident.Holder `json:"dead"`
	Num  uint64       `json:"num"`
}

// Leave moves everything that the writer holds to another member and ends the
// writer's membership for good.
type Leave struct {
	To ident.Holder `json:"to"`
}

// Reset empties the ledger: no members, no units. An operator orders it when
// records expired that nobody had written again, and nothing runs any more. It
// is void unless it is the very next record after offset After: a copy of it
// that lands later would take the units from tasks that run by then.
type Reset struct {
	After ports.Offset `json:"after"`
}

// Encode renders a record for the log.
func Encode(r Record) ([]byte, error) { return json.Marshal(r) }

// Decode reads a record. It returns a *stream.MalformedRecordError for anything that
// Encode did not write.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &stream.MalformedRecordError{Cause: err}
	}
	return r, nil
}
