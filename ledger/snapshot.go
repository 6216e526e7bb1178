package ledger

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Snapshot is one part of the whole state after the record at offset At. It
// states a fact about the stream, which stays true whoever wrote it and
// whatever follows. The parts of one snapshot have the same writer and At; a
// reader uses it only with all of them.
type Snapshot struct {
	At    ports.Offset `json:"at"`
	Part  int          `json:"i"` // from zero
	Parts int          `json:"of"`

	Members []SnapshotMember `json:"m,omitempty"`
	Teams   []SnapshotTeam   `json:"t,omitempty"`
}

// SnapshotMember is a member, or a holder that was one; past members stand in
// the order in which they went.
type SnapshotMember struct {
	Holder ident.Holder `json:"h"`
	Zone   ident.Zone   `json:"z,omitempty"`
	Num    uint64       `json:"n"`
	Gone   bool         `json:"gone,omitempty"`
	Heir   ident.Holder `json:"heir,omitzero"`
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

// Estimates of the encoded size of an entry, in bytes.
const (
	memberBytes = 80
	teamBytes   = 60
	heldBytes   = 60
)

// snapshot returns the whole state in parts of about the given size in bytes.
func (f *Fold) snapshot(size int) []Snapshot {
	w := &partWriter{size: size, parts: []Snapshot{{At: f.after}}}
	for _, h := range slices.Concat(f.live, f.gone) {
		m := f.members[h]
		part := w.room(memberBytes)
		part.Members = append(part.Members, SnapshotMember{Holder: h, Zone: m.zone, Num: m.num, Gone: m.gone, Heir: m.heir})
	}
	for _, id := range f.Teams() {
		f.snapshotTeam(w, id)
	}
	for i := range w.parts {
		w.parts[i].Part = i
		w.parts[i].Parts = len(w.parts)
	}
	return w.parts
}

func (f *Fold) snapshotTeam(w *partWriter, id ident.TeamID) {
	t := f.teams[id]
	head := SnapshotTeam{TeamLimit: TeamLimit{Team: id, Limit: t.limit, Version: t.version}}
	part := w.room(teamBytes)
	part.Teams = append(part.Teams, head)
	for _, h := range f.live {
		if t.held[h] == 0 {
			continue
		}
		before := part
		if part = w.room(heldBytes); part != before {
			part.Teams = append(part.Teams, head)
		}
		last := &part.Teams[len(part.Teams)-1]
		last.Held = append(last.Held, SnapshotHeld{Holder: h, Units: t.held[h]})
	}
}

// partWriter fills parts up to a size.
type partWriter struct {
	size, used int
	parts      []Snapshot
}

// room returns a part with room for so many bytes more.
func (w *partWriter) room(bytes int) *Snapshot {
	if w.used+bytes > w.size && w.used > 0 {
		w.parts = append(w.parts, Snapshot{At: w.parts[0].At})
		w.used = 0
	}
	w.used += bytes
	return &w.parts[len(w.parts)-1]
}

// restoreFold returns the state that the parts of one snapshot give.
func restoreFold(parts map[int]*Snapshot) *Fold {
	f := NewFold()
	for i := range len(parts) {
		p := parts[i]
		f.after = p.At
		f.snapshotAt = p.At
		for _, m := range p.Members {
			f.restoreMember(m)
		}
		for _, t := range p.Teams {
			f.restoreTeam(t)
		}
	}
	return f
}

func (f *Fold) restoreMember(m SnapshotMember) {
	f.members[m.Holder] = &member{zone: m.Zone, num: m.Num, gone: m.Gone, heir: m.Heir}
	if m.Gone {
		f.gone = append(f.gone, m.Holder)
		return
	}
	f.live = append(f.live, m.Holder)
}

func (f *Fold) restoreTeam(st SnapshotTeam) {
	t := f.teams[st.Team]
	if t == nil {
		t = &team{limit: st.Limit, version: st.Version, held: map[ident.Holder]int64{}}
		f.teams[st.Team] = t
	}
	for _, h := range st.Held {
		t.held[h.Holder] += h.Units
		t.sum += h.Units
	}
}

// snapshotID names a snapshot in the stream.
type snapshotID struct {
	writer ident.Holder
	at     ports.Offset
}

// partCounter notes which parts of which snapshots were seen.
type partCounter map[snapshotID]map[int]bool

// noteSnapshot remembers the position of the newest snapshot that is whole.
func (f *Fold) noteSnapshot(rec Record) {
	s := rec.Snapshot
	if s.At <= f.snapshotAt {
		return
	}
	id := snapshotID{writer: rec.Writer, at: s.At}
	if f.parts[id] == nil {
		f.parts[id] = map[int]bool{}
	}
	f.parts[id][s.Part] = true
	if len(f.parts[id]) < s.Parts {
		return
	}
	f.snapshotAt = s.At
	for other := range f.parts {
		if other.at <= s.At {
			delete(f.parts, other)
		}
	}
}

// loader finds the newest whole snapshot that can be read on from.
type loader struct {
	probe  stream.Probe
	parts  map[snapshotID]map[int]*Snapshot
	best   *Fold
	bestAt ports.Offset
}

func newLoader(probe int) loader {
	return loader{
		probe: stream.Probe{Records: probe},
		parts: map[snapshotID]map[int]*Snapshot{},
	}
}

// Note implements stream.Finder.
func (l *loader) Note(data ports.Record, first ports.Offset) {
	rec, err := Decode(data.Data)
	if err != nil {
		return
	}
	if rec.Reset != nil && rec.Reset.After+1 == data.Offset && data.Offset > l.bestAt {
		l.best = NewFold()
		l.best.after = data.Offset
		l.bestAt = data.Offset
	}
	s := rec.Snapshot
	if s == nil {
		return
	}
	if s.At+1 < first || s.At <= l.bestAt {
		return
	}
	id := snapshotID{writer: rec.Writer, at: s.At}
	if l.parts[id] == nil {
		l.parts[id] = map[int]*Snapshot{}
	}
	l.parts[id][s.Part] = s
	if len(l.parts[id]) == s.Parts {
		l.best = restoreFold(l.parts[id])
		l.bestAt = s.At
	}
}

// Found implements stream.Finder.
func (l *loader) Found() (ports.Offset, bool) {
	if l.best == nil {
		return 0, false
	}
	return l.bestAt, true
}

// snapshots paces the snapshots of a holder.
type snapshots struct {
	seenAt  time.Duration // when a newer snapshot was last read
	triedAt time.Duration // when one was last begun here
	parts   []Snapshot    // still to be sent
}

// Spacing of the members' turns, as a part of the interval, and the parts that
// go into one append.
const (
	snapshotTurns  = 16
	partsPerAppend = 8
)

// draftSnapshot adds parts of a snapshot. The members take turns: the first one
// begins when the interval has passed, each next one a sixteenth later, unless
// somebody was quicker.
func (h *Holder) draftSnapshot(d *draft) {
	if len(h.snap.parts) == 0 && h.snapshotDue() {
		h.snap.triedAt = h.now
		h.snap.parts = h.fold.snapshot(h.cfg.SnapshotBytes)
	}
	n := min(partsPerAppend, len(h.snap.parts))
	for i := range n {
		d.add(Record{Snapshot: &h.snap.parts[i]})
	}
	h.snap.parts = h.snap.parts[n:]
}

func (h *Holder) snapshotDue() bool {
	turn := uint64(h.turn(uint64(h.fold.snapshotAt)))
	records := uint64(h.fold.after - h.fold.snapshotAt)
	rest := h.cfg.SnapshotAfter / snapshotTurns
	if h.snap.triedAt > 0 && h.now-h.snap.triedAt < rest {
		return false
	}
	if records >= h.cfg.SnapshotEvery*(snapshotTurns+turn)/snapshotTurns {
		return true
	}
	return h.now-h.snap.seenAt >= h.cfg.SnapshotAfter+time.Duration(turn)*rest
}
