package fleet

import (
	"fmt"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Follower keeps a host's State up to date from whatever can be reached: pages
// of the stream, read from the log or from a peer, and whole States of peers.
// It never goes back to a lower offset. It is not safe for concurrent use; the
// States that it returns may be read by anyone.
type Follower struct {
	state *State // nil until it is whole

	// While the State is not whole: the records from the oldest one that was
	// left, and the snapshots found among them.
	pending  []ports.Record
	snapshot map[Digest]*collector

	tail []ports.Record // the newest records that were applied, for peers
}

// tailRecords is the number of records kept for peers that are behind.
const tailRecords = 256

// NewFollower returns a Follower that knows nothing yet.
func NewFollower() *Follower { return &Follower{} }

// State returns the newest State, or nil as long as none is whole. A host
// admits nothing before that: it could not know withdrawn keys or limits.
func (f *Follower) State() *State { return f.state }

// After returns the offset after which the next page is to be read from the
// log.
func (f *Follower) After() ports.Offset {
	if len(f.pending) > 0 {
		return f.pending[len(f.pending)-1].Offset
	}
	return f.PeerAfter()
}

// PeerAfter returns the offset after which a peer is to be asked. It differs
// from After while records are only collected and none could be folded: a peer
// that was asked after those would answer that there is nothing newer.
func (f *Follower) PeerAfter() ports.Offset {
	if f.state == nil {
		return 0
	}
	return f.state.offset
}

// NoSnapshotError reports that the stream was read to its end, that the records
// which the State needs have expired, and that what is left holds no whole
// snapshot. The State has to come from a peer; reading on is harmless.
type NoSnapshotError struct {
	First, Last ports.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("records %d to %d hold no whole snapshot, and older ones have expired", e.First, e.Last)
}

// BehindError reports a source whose newest record is older than the State. A
// peer may be behind; a log that is behind has lost records, and what is
// appended to it will be ignored until it has passed Have.
type BehindError struct {
	Have, Last ports.Offset
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the source ends at offset %d, but offset %d is known already", e.Last, e.Have)
}

// Add takes a page that was read after After, from the log or a peer, and
// returns what became of each record.
//
// A *NewerFormatError stops the fold until the program is replaced. With a
// *NoSnapshotError or a *BehindError the State stays as it was.
func (f *Follower) Add(page ports.Page) ([]Result, error) {
	if f.state == nil && f.wholeStream(page) {
		f.state = Empty()
	}
	if f.state != nil && page.Last < f.state.offset {
		return nil, &BehindError{Have: f.state.offset, Last: page.Last}
	}
	if f.follows(page.Records) {
		return f.apply(page.Records)
	}
	found := f.search(page.Records)
	if found == nil && f.After() >= page.Last {
		return nil, &NoSnapshotError{First: page.First, Last: page.Last}
	}
	if found == nil {
		return nil, nil
	}
	f.state, f.tail = found, nil
	records := append(f.pending, page.Records...) // some stand in both; apply passes over them
	f.pending, f.snapshot = nil, nil
	return f.apply(records)
}

// wholeStream reports whether a page begins at the first record of all.
func (f *Follower) wholeStream(page ports.Page) bool {
	if len(page.Records) == 0 {
		return page.First <= 1 && len(f.pending) == 0
	}
	return page.Records[0].Offset == 1
}

// follows reports whether records can be applied to the State as they are.
// They cannot if there is no State, or if records between have expired while
// this host was cut off; then a snapshot is searched for, and the State that
// there is stays in force meanwhile.
func (f *Follower) follows(records []ports.Record) bool {
	if f.state == nil {
		return false
	}
	if len(records) == 0 {
		return len(f.pending) == 0
	}
	return records[0].Offset <= f.state.offset+1
}

// apply applies records to the State that there is, then those that were
// collected meanwhile, if they follow now.
func (f *Follower) apply(records []ports.Record) ([]Result, error) {
	results, err := f.fold(records)
	if err != nil || len(f.pending) == 0 || f.pending[0].Offset > f.state.offset+1 {
		return results, err
	}
	collected := f.pending
	f.pending, f.snapshot = nil, nil
	more, err := f.fold(collected)
	return append(results, more...), err
}

// fold applies records in order and passes over those that are known.
func (f *Follower) fold(records []ports.Record) ([]Result, error) {
	results := make([]Result, 0, len(records))
	for _, r := range records {
		next, result, err := Apply(f.state, r)
		if err != nil {
			return results, err
		}
		if result.Status == StatusKnown {
			continue
		}
		f.state = next
		f.keep(r)
		results = append(results, result)
	}
	return results, nil
}

// search looks for a whole snapshot among records and those before them, and
// returns its State, or nil. The records are kept, because some that follow
// the snapshot's offset may stand before the snapshot itself.
func (f *Follower) search(records []ports.Record) *State {
	for _, r := range records {
		if len(f.pending) > 0 && r.Offset <= f.After() {
			continue
		}
		f.pending = append(f.pending, r)
		rec, err := decodeRecord(r)
		if err != nil || rec.Snapshot == nil || !rec.Snapshot.sane() {
			continue
		}
		if s := f.collect(rec.Snapshot); s != nil {
			return s
		}
	}
	return nil
}

// collect adds a part to its snapshot and returns the State if it is whole and
// no record between it and the oldest one is lost.
func (f *Follower) collect(p *snapshotPart) *State {
	if f.snapshot == nil {
		f.snapshot = make(map[Digest]*collector)
	}
	c := f.snapshot[p.Digest]
	if c == nil {
		c = &collector{}
		f.snapshot[p.Digest] = c
	}
	s := c.add(p)
	if s == nil || s.offset+1 < f.pending[0].Offset {
		return nil
	}
	return s
}

// Adopt takes a whole State from a peer if it is newer than what there is, and
// reports whether it did.
func (f *Follower) Adopt(s *State) bool {
	if f.state != nil && s.offset <= f.state.offset {
		return false
	}
	f.state = s
	f.pending, f.snapshot = nil, nil
	f.tail = nil
	return true
}

// Since returns the records after an offset for a peer that is behind. It
// reports false if they are no longer kept; the peer then needs Encode.
func (f *Follower) Since(after ports.Offset) (ports.Page, bool) {
	if f.state == nil || after > f.state.offset {
		return ports.Page{}, false
	}
	missing := int(min(f.state.offset-after, tailRecords+1))
	if missing > len(f.tail) {
		return ports.Page{}, false
	}
	records := append([]ports.Record(nil), f.tail[len(f.tail)-missing:]...)
	return ports.Page{Records: records, First: after + 1, Last: f.state.offset}, true
}

// keep adds a record to the tail and drops the oldest.
func (f *Follower) keep(r ports.Record) {
	f.tail = append(f.tail, r)
	if len(f.tail) >= 2*tailRecords {
		f.tail = append([]ports.Record(nil), f.tail[len(f.tail)-tailRecords:]...)
	}
}
