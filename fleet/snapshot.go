package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// The stream's records expire, so its state is written into it again, as a
// snapshot: one group of records, each with a part of a compressed State. A
// State that is whole ignores the content and goes on; a reader that starts at
// the oldest record that is left begins with the first whole snapshot that it
// finds (see Follower).
//
// Any host may write a snapshot at any time. Two that are written at once are
// both right, because each names the offset that it describes and the reader
// goes on with the records after that offset. A snapshot with a missing part
// is never used.

const (
	// SnapshotRecords is the number of records after which a snapshot is due.
	SnapshotRecords = 4096

	// partSize is the size of one part's data, in bytes.
	partSize = 128 << 10

	// maxState bounds what the parts of a snapshot may unpack to, in bytes.
	maxState = 256 << 20

	// maxParts bounds what a reader collects for one snapshot.
	maxParts = 1024
)

// snapshotPart is one record of a snapshot.
type snapshotPart struct {
	Of     ports.Offset `json:"of"` // offset of the State that the snapshot holds
	Digest Digest       `json:"digest"`
	Part   int          `json:"part"` // counted from zero
	Parts  int          `json:"parts"`
	At     time.Time    `json:"at"` // wall clock of the writer
	Data   []byte       `json:"data"`
}

// sane reports whether the numbers of a part can belong to a snapshot.
func (p *snapshotPart) sane() bool {
	numbered := p.Parts >= 1 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts
	return numbered && len(p.Data) <= partSize && encodable(p.At)
}

// SnapshotInfo tells which snapshot in the stream is the newest whole one.
type SnapshotInfo struct {
	Of ports.Offset `json:"of,omitempty"` // offset that it describes
	At time.Time    `json:"at,omitzero"`  // when it was written, by the writer's wall clock

	// Parts of a snapshot seen so far.
	Digest Digest `json:"digest,omitzero"`
	Next   int    `json:"next,omitempty"`
}

// noteSnapshot follows the parts of a snapshot, so that every host knows when
// the next one is due.
func (d *draft) noteSnapshot(p *snapshotPart) {
	info := &d.state.snap
	follows := info.Next > 0 && info.Digest == p.Digest && info.Next == p.Part
	if !p.sane() || (p.Part != 0 && !follows) {
		info.Next = 0
		return
	}
	info.Digest = p.Digest
	info.Next = p.Part + 1
	if info.Next == p.Parts && p.Of >= info.Of && p.Of < d.at {
		info.Of = p.Of
		info.At = p.At.UTC()
		info.Next = 0
	}
}

// SnapshotDue reports whether a snapshot should be written: SnapshotRecords
// records after the last one, or when the last one is older than every by the
// wall clock and there is anything to keep. every must be well below the
// retention of the log. A wrong clock gives snapshots too often or lets the
// number of records decide.
//
// rank orders those who might write, from zero. Each waits an eighth longer
// than the one before, so that normally only the first writes, and another does
// when the first is dead or cut off.
func SnapshotDue(s *State, now time.Time, every time.Duration, rank int) bool {
	if s.offset == 0 {
		return false
	}
	records := SnapshotRecords + SnapshotRecords/rankPart*rank
	age := every + every/rankPart*time.Duration(rank)
	return s.offset-s.snap.Of >= ports.Offset(records) || now.Sub(s.snap.At) >= age
}

// rankPart is the part of the interval by which the next rank waits longer.
const rankPart = 8

// SnapshotGroup renders s as a group of records that are to be appended in one
// call. now is the wall clock.
func SnapshotGroup(s *State, now time.Time) ([][]byte, error) {
	encoded := Encode(s)
	digest := Digest(encoded[:len(Digest{})])
	whole := pack(encoded)
	parts := (len(whole) + partSize - 1) / partSize
	group := make([][]byte, 0, parts)
	for i := range parts {
		part := &snapshotPart{
			Of: s.offset, Digest: digest, Part: i, Parts: parts, At: now.UTC().Truncate(time.Second),
			Data: whole[i*partSize : min((i+1)*partSize, len(whole))],
		}
		data, err := json.Marshal(record{Version: formatVersion, Snapshot: part})
		if err != nil {
			return nil, &MalformedError{Detail: err.Error()}
		}
		group = append(group, data)
	}
	return group, nil
}

// collector puts the parts of one snapshot together.
type collector struct {
	parts [][]byte
	have  int
}

// add takes one part and returns the State once all parts are there, or nil.
func (c *collector) add(p *snapshotPart) *State {
	if c.parts == nil {
		c.parts = make([][]byte, p.Parts)
	}
	if len(c.parts) != p.Parts || c.parts[p.Part] != nil {
		return nil
	}
	c.parts[p.Part] = p.Data
	c.have++
	if c.have < p.Parts {
		return nil
	}
	encoded, err := unpack(bytes.Join(c.parts, nil))
	if err != nil {
		return nil
	}
	s, err := Decode(encoded)
	if err != nil || s.offset != p.Of {
		return nil // damaged, or of a newer format: another snapshot will follow
	}
	return s
}

// pack compresses an encoded State: every host reads every snapshot, so its
// size counts once for each host.
func pack(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data) // a buffer takes everything
	_ = w.Close()
	return out.Bytes()
}

// unpack undoes pack. It returns a *TornError for anything else.
func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &TornError{Detail: err.Error()}
	}
	out, err := io.ReadAll(io.LimitReader(r, maxState))
	if err != nil {
		return nil, &TornError{Detail: err.Error()}
	}
	return out, nil
}
