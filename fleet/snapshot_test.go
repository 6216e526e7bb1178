package fleet

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// page cuts a page out of a stream whose records before first have expired.
func (s *stream) page(first, after ports.Offset, limit int) ports.Page {
	p := ports.Page{First: first, Last: ports.Offset(len(s.records))}
	for _, r := range s.records {
		if r.Offset >= first && r.Offset > after && len(p.Records) < limit {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// snapshot appends the newest State as a snapshot.
func (s *stream) snapshot() {
	s.t.Helper()
	group, err := SnapshotGroup(s.state, wall)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, data := range group {
		s.add(data)
	}
}

// follow reads a stream to its end.
func (s *stream) follow(f *Follower, first ports.Offset, limit int) error {
	for {
		p := s.page(first, f.After(), limit)
		if _, err := f.Add(p); err != nil {
			return err
		}
		if f.After() >= p.Last {
			return nil
		}
	}
}

// Story: a new host starts after the oldest records have expired. It must come
// to the same configuration as hosts that have read everything, wherever the
// stream now begins, or say that it cannot; it must never start with a part.
func TestNewHostAfterExpiry(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	s.must(team("audit", 20))
	s.snapshot() // describes offset 2, stands at 3
	s.must(team("grants", 30))
	s.snapshot() // describes offset 4, stands at 5
	s.must(team("late", 1))
	for first := ports.Offset(1); first <= 6; first++ {
		f := NewFollower()
		err := s.follow(f, first, 2)
		var none *NoSnapshotError
		switch {
		case first == 6 && (!errors.As(err, &none) || f.State() != nil):
			t.Errorf("first %d: got %v and a State %v", first, err, f.State() != nil)
		case first < 6 && (err != nil || !bytes.Equal(Encode(f.State()), Encode(s.state))):
			t.Errorf("first %d: %v, other State", first, err)
		}
	}
}

// Story: a host writes a snapshot that needs several records and dies half-way,
// or the first part expires before the others. A new host must not use what is
// left of it.
func TestHalfWrittenSnapshot(t *testing.T) {
	s := newStream(t)
	random := rand.New(rand.NewPCG(1, 2)) // text that does not compress
	s.must(team("grants", 10))
	for i := range 160 {
		raw := make([]byte, MaxPayload/2)
		for j := range raw {
			raw[j] = byte(random.Uint32())
		}
		payload := hex.EncodeToString(raw)
		id := ident.ServiceID("s" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
		s.must(Intent{Services: []WantService{{Service: id, Team: ptr(ident.TeamID("grants")), Payload: &payload}}})
	}
	group, err := SnapshotGroup(s.state, wall)
	if err != nil || len(group) < 3 {
		t.Fatalf("%d parts, %v", len(group), err)
	}
	first := ports.Offset(len(s.records) + 1)
	for _, data := range group[:len(group)-1] {
		s.add(data)
	}
	var none *NoSnapshotError
	f := NewFollower()
	if err := s.follow(f, first, 10); !errors.As(err, &none) || f.State() != nil {
		t.Errorf("half a snapshot: %v, State %v", err, f.State() != nil)
	}
	if s.state.Snapshot().Of != 0 {
		t.Error("half a snapshot counts as written")
	}
	s.add(group[len(group)-1])
	if err := s.follow(f, first, 10); err != nil || f.State() == nil {
		t.Fatalf("whole snapshot: %v", err)
	}
	if s.state.Snapshot().Of != first-1 || !bytes.Equal(Encode(f.State()), Encode(s.state)) {
		t.Error("the whole snapshot is not counted, or gives another State")
	}
}

// Story: a host is paused between making a snapshot and appending it, and by
// then the records after the one it describes have expired. Its content is
// older than the oldest record; a new host that used it would miss changes.
func TestLateSnapshot(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	group, err := SnapshotGroup(s.state, wall) // describes offset 1
	if err != nil {
		t.Fatal(err)
	}
	s.must(team("grants", 20))
	s.must(team("audit", 20))
	s.add(group[0])
	var none *NoSnapshotError
	f := NewFollower()
	if err := s.follow(f, 3, 10); !errors.As(err, &none) || f.State() != nil {
		t.Errorf("got %v, State %v", err, f.State() != nil)
	}
}

// Story: the parts of two snapshots stand mixed in the stream, because two
// hosts wrote at once. Neither may count as written, or the next one that is
// due would be left out and a new host would find none that is whole.
func TestMixedSnapshotsDoNotCount(t *testing.T) {
	s := newStream(t)
	part := func(digest byte, n int) []byte {
		data, err := json.Marshal(record{Version: formatVersion, Snapshot: &snapshotPart{
			Of: 1, Digest: Digest{digest}, Part: n, Parts: 3, At: wall,
		}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	s.must(team("grants", 10))
	for _, data := range [][]byte{part(1, 0), part(2, 0), part(1, 1), part(1, 2), part(2, 2), part(3, 0), part(3, 2)} {
		s.add(data)
		if s.state.Snapshot().Of != 0 {
			t.Fatalf("counted after offset %d", s.state.Offset())
		}
	}
	for n := range 3 {
		s.add(part(4, n))
	}
	if s.state.Snapshot().Of != 1 {
		t.Error("a whole one does not count")
	}
}

// Story: a peer's answer with its State is cut short on the way. Damaged by a
// single byte or cut anywhere, it is refused whole.
func TestTornState(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	whole := Encode(s.state)
	for i := range whole {
		damaged := bytes.Clone(whole)
		damaged[i] ^= 1
		var torn *TornError
		if _, err := Decode(damaged); !errors.As(err, &torn) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
		if _, err := Decode(whole[:i]); !errors.As(err, &torn) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

// Story: a host that was cut off for long meets a log whose records since then
// have expired, and a peer that is behind. It keeps its State in force until a
// newer one is whole, and never goes back.
func TestFollowerNeverGoesBack(t *testing.T) {
	s := newStream(t)
	f := NewFollower()
	s.must(team("grants", 10))
	old := s.state
	s.must(team("grants", 20))
	if err := s.follow(f, 1, 10); err != nil {
		t.Fatal(err)
	}
	cutOff := f.State()
	if f.Adopt(old) || f.State() != cutOff {
		t.Error("an older State was adopted")
	}
	var behind *BehindError
	if _, err := f.Add(ports.Page{First: 1, Last: 1}); !errors.As(err, &behind) {
		t.Errorf("a log that lost records: %v", err)
	}
	for range 3 {
		s.must(team("grants", s.state.teams["grants"].Limit+1))
	}
	var none *NoSnapshotError
	if err := s.follow(f, 5, 1); !errors.As(err, &none) || f.State() != cutOff {
		t.Errorf("after the gap: %v", err)
	}
	s.snapshot()
	if err := s.follow(f, 5, 1); err != nil || f.State().Offset() != s.state.Offset() {
		t.Errorf("after the snapshot: %v, offset %d", err, f.State().Offset())
	}
	if page, ok := f.Since(f.State().Offset() - 1); !ok || len(page.Records) != 1 {
		t.Errorf("for peers: %v %v", page, ok)
	}
	if _, ok := f.Since(1); ok {
		t.Error("records were promised to a peer that are not kept")
	}
}

// Story: a new host finds a log whose old records have expired and which holds
// no snapshot. Peers that run since long have the configuration: one that keeps
// the records since its own start sends them, another sends its whole State.
// The new host must come to the same State from either.
func TestNewHostFromPeer(t *testing.T) {
	s := newStream(t)
	for n := range 4 {
		s.must(team("grants", int64(n)))
	}
	peer := NewFollower()
	if err := s.follow(peer, 1, 10); err != nil {
		t.Fatal(err)
	}
	fresh := func() *Follower {
		f := NewFollower()
		var none *NoSnapshotError
		if err := s.follow(f, 3, 1); !errors.As(err, &none) || f.After() != 4 || f.PeerAfter() != 0 {
			t.Fatalf("got %v, after %d", err, f.After())
		}
		return f
	}
	page, ok := peer.Since(fresh().PeerAfter())
	if !ok {
		t.Fatal("the peer does not have the records")
	}
	byRecords, byState := fresh(), fresh()
	page.Records = page.Records[:2]
	if results, err := byRecords.Add(page); err != nil || len(results) != 4 {
		t.Errorf("%d results, %v", len(results), err)
	}
	byState.Adopt(peer.State())
	for _, f := range []*Follower{byRecords, byState} {
		if f.State() == nil || !bytes.Equal(Encode(f.State()), Encode(s.state)) || f.After() != 4 {
			t.Errorf("another State, or none; after %d", f.After())
		}
	}
}

// Story: a host that was cut off for long is behind what the log still holds.
// A peer has kept the records between; with them the host is up to date again
// and its own collected records are not lost.
func TestCutOffHostCatchesUpFromPeer(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 1))
	f, peer := NewFollower(), NewFollower()
	if err := s.follow(f, 1, 10); err != nil {
		t.Fatal(err)
	}
	for n := range 5 {
		s.must(team("grants", int64(n+2)))
	}
	if err := s.follow(peer, 1, 10); err != nil {
		t.Fatal(err)
	}
	var none *NoSnapshotError
	if err := s.follow(f, 4, 10); !errors.As(err, &none) {
		t.Fatalf("got %v", err)
	}
	page, ok := peer.Since(f.PeerAfter())
	if !ok {
		t.Fatal("the peer does not have the records")
	}
	page.Records = page.Records[:2] // offsets 2 and 3; 4 to 6 were collected
	if results, err := f.Add(page); err != nil || len(results) != 5 {
		t.Errorf("%d results, %v", len(results), err)
	}
	if !bytes.Equal(Encode(f.State()), Encode(s.state)) || f.After() != 6 {
		t.Error("another State")
	}
}

// Story: the host whose turn it is to write the snapshot is cut off. Records
// expire all the same, so the next in order writes it, a little later.
func TestSnapshotDue(t *testing.T) {
	s := newStream(t)
	due := func(age time.Duration, rank int) bool { return SnapshotDue(s.state, wall.Add(age), 8*time.Hour, rank) }
	if due(0, 0) {
		t.Error("due for nothing")
	}
	s.must(team("grants", 10))
	if !due(0, 0) {
		t.Error("the first is not due")
	}
	s.snapshot()
	for _, c := range []struct {
		age  time.Duration
		rank int
		want bool
	}{{8*time.Hour - 1, 0, false}, {8 * time.Hour, 0, true}, {8 * time.Hour, 1, false}, {9 * time.Hour, 1, true}, {9 * time.Hour, 2, false}} {
		if due(c.age, c.rank) != c.want {
			t.Errorf("age %v, rank %d: want %v", c.age, c.rank, c.want)
		}
	}
	for range SnapshotRecords {
		s.add([]byte("noise"))
	}
	if !due(0, 0) || due(0, 1) {
		t.Error("the number of records does not count by rank")
	}
	for range SnapshotRecords / rankPart {
		s.add([]byte("noise"))
	}
	if !due(0, 1) {
		t.Error("the next in order never writes")
	}
}

func TestZoneReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 1, 8, rapid.ID[string]).Draw(t, "zones")
		v := Service{ID: ident.ServiceID(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service")), Replicas: rapid.IntRange(0, 50).Draw(t, "replicas")}
		all := make([]ident.Zone, len(zones))
		for i, zone := range zones {
			all[i] = ident.Zone(zone)
		}
		sum := 0
		for _, zone := range all {
			n := v.ZoneReplicas(zone, all)
			if n < v.Replicas/len(all) || n > v.Replicas/len(all)+1 {
				t.Fatalf("zone %s has %d", zone, n)
			}
			sum += n
		}
		if sum != v.Replicas {
			t.Fatalf("sum is %d, want %d", sum, v.Replicas)
		}
	})
}

// drawIntent draws an intent over few objects, so that plans collide.
func drawIntent(t *rapid.T) Intent {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	n := rapid.Int64Range(0, 5).Draw(t, "n")
	_, id, hash := key(byte(n))
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		return Intent{Keys: []WantKey{{Action: KeyGive, Team: ident.TeamID(name), Key: id, Hash: hash}}}
	case 1:
		return Intent{Keys: []WantKey{{Action: KeyWithdraw, Key: id}}}
	case 2:
		_, fresh, freshHash := key(byte(n + 1))
		return Intent{Keys: []WantKey{{Action: KeyRotate, Old: id, Key: fresh, Hash: freshHash, Overlap: time.Minute}}}
	case 3:
		return Intent{Teams: []WantTeam{{Team: ident.TeamID(name), Absent: true}}}
	case 4:
		mode := rapid.SampledFrom([]Mode{ModeNone, ModeCordon, ModeDrain}).Draw(t, "mode")
		return Intent{Marks: []WantMark{{Target: WorkerRef(ident.WorkerID(name)), Mode: mode}}}
	case 5:
		need := resource.Vector{MilliCPU: 100}
		return Intent{Services: []WantService{{Service: "s", Team: ptr(ident.TeamID(name)), Replicas: ptr(int(n)), Need: &need}}}
	}
	return team(ident.TeamID(name), n)
}

// Story: hosts read the same stream in pages of other sizes, from other first
// records, through snapshots written at any moment, and with plans that were
// made from States long past. All must end in the same State, byte for byte.
func TestEveryHostComesToTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newStream(t)
		states := []*State{s.state}
		var lastWhole ports.Offset // newest offset that a snapshot describes
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			base := states[rapid.IntRange(max(0, len(states)-6), len(states)-1).Draw(rt, "base")]
			switch rapid.IntRange(0, 9).Draw(rt, "kind") {
			case 0:
				lastWhole = s.state.Offset()
				s.snapshot()
			case 1:
				s.add(rapid.SliceOf(rapid.Byte()).Draw(rt, "noise"))
			default:
				p, err := MakePlan(base, drawIntent(rt), "asha", wall, NoImpact{})
				if err != nil {
					continue
				}
				s.confirm("asha", p)
				if rapid.Bool().Draw(rt, "again") {
					s.confirm("bert", p)
				}
			}
			states = append(states, s.state)
		}
		first := rapid.Custom(func(t *rapid.T) ports.Offset {
			return ports.Offset(rapid.IntRange(1, int(lastWhole)+1).Draw(t, "n"))
		}).Draw(rt, "first")
		f := NewFollower()
		if err := s.follow(f, first, rapid.IntRange(1, 7).Draw(rt, "page")); err != nil {
			rt.Fatal(err)
		}
		if want, got := Encode(s.state), Encode(f.State()); !bytes.Equal(want, got) {
			rt.Fatalf("from offset %d:\n got %s\nwant %s", first, got[32:], want[32:])
		}
		back, err := Decode(Encode(s.state))
		if err != nil || !bytes.Equal(Encode(back), Encode(s.state)) {
			rt.Fatalf("encoding: %v", err)
		}
	})
}

// FuzzApply folds any bytes as a record after a few good ones. Nothing may
// panic, a rejected record may change nothing but the offset, and every State
// must survive its encoding.
func FuzzApply(f *testing.F) {
	base := newStream(&testing.T{})
	base.must(team("grants", 10))
	_, id, hash := key(1)
	for _, in := range []Intent{
		team("grants", 20),
		{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}},
		{Marks: []WantMark{{Target: HostRef("a1"), Mode: ModeDrain}}},
		{Teams: []WantTeam{{Team: "grants", Absent: true}}},
	} {
		p := base.plan("asha", in)
		data, err := EncodeChange(p.Change("asha", wall))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	group, err := SnapshotGroup(base.state, wall)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(group[0])
	ops := Ops{&PutTeam{Team: "b", Share: 1, Create: true}}
	early, err := EncodeChange(&Change{
		Plan: planID("asha", 1, ops), Planner: "asha", Operator: "asha", Base: 1, Ops: ops,
		At: time.Date(0, 1, 1, 0, 0, 0, 0, time.FixedZone("", 23*3600)),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(early) // its time cannot be rendered in UTC
	f.Add([]byte(`{"v":2}`))
	f.Add([]byte(`{"v":1,"change":{"base":1,"ops":null}}`))
	f.Add([]byte(`{"v":1,"snapshot":{"of":1,"part":-1,"parts":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		next, result, err := Apply(base.state, ports.Record{Offset: 2, Data: data})
		if err != nil {
			if next != base.state {
				t.Fatal("an error changed the State")
			}
			return
		}
		whole := Encode(next)
		back, err := Decode(whole)
		if err != nil || !bytes.Equal(Encode(back), whole) {
			t.Fatalf("encoding: %v", err)
		}
		moved := *base.state
		moved.offset = 2
		if result.Status == StatusRejected && !bytes.Equal(whole, Encode(&moved)) {
			t.Fatalf("rejected with %v, but the State changed", result.Reason)
		}
		follower := NewFollower()
		_, _ = follower.Add(ports.Page{First: 9, Last: 9, Records: []ports.Record{{Offset: 9, Data: data}}})
	})
}
