package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

func benchHolder(i int) ident.Holder {
	return ident.Holder{Host: ident.HostID(fmt.Sprintf("entry-%03d", i)), Incarnation: ident.Incarnation(0x1234567890 + uint64(i))}
}

func benchTeam(i int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%03d", i)) }

// feeder applies records to a fold.
type feeder struct {
	b     *testing.B
	fold  *Fold
	at    ports.Offset
	nums  map[ident.Holder]uint64
	bytes int
}

func newFeeder(b *testing.B) *feeder {
	return &feeder{b: b, fold: NewFold(), nums: map[ident.Holder]uint64{}}
}

func (f *feeder) encode(by ident.Holder, rec Record) []byte {
	f.b.Helper()
	f.nums[by]++
	rec.Writer = by
	rec.Num = f.nums[by]
	data, err := Encode(rec)
	if err != nil {
		f.b.Fatal(err)
	}
	return data
}

func (f *feeder) apply(data []byte) {
	f.at++
	f.bytes += len(data)
	f.fold.Apply(f.at, data)
}

// fill joins holders and gives every team a limit of 1000 units a holder.
func (f *feeder) fill(holders, teams int) {
	for i := range holders {
		f.apply(f.encode(benchHolder(i), Record{Join: &Join{Zone: "a"}}))
	}
	for i := range teams {
		limit := TeamLimit{Team: benchTeam(i), Limit: int64(1000 * holders), Version: ports.Offset(i + 1)}
		f.apply(f.encode(benchHolder(0), Record{Limits: &Limits{Teams: []TeamLimit{limit}}}))
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFold measures one transfer, and its bytes.
func BenchmarkFold(b *testing.B) {
	for _, size := range [][2]int{{9, 6}, {99, 250}} {
		b.Run(fmt.Sprintf("holders=%d/teams=%d", size[0], size[1]), func(b *testing.B) {
			f := newFeeder(b)
			f.fill(size[0], size[1])
			f.bytes = 0
			const batch = 1024
			var data [][]byte
			moved := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%batch == 0 {
					b.StopTimer()
					data = data[:0]
					for k := range batch {
						t := Transfer{Team: benchTeam((i + k) % size[1]), To: benchHolder((i + k + 1) % size[0]), Units: 1}
						data = append(data, f.encode(benchHolder((i+k)%size[0]), Record{Moves: &Moves{Transfers: []Transfer{t}}}))
					}
					b.StartTimer()
				}
				f.apply(data[i%batch])
				moved++
			}
			b.ReportMetric(float64(f.bytes)/float64(moved), "B/transfer")
		})
	}
}

// BenchmarkMemory measures a team's holding by one holder, in the fold and in a
// snapshot.
func BenchmarkMemory(b *testing.B) {
	const holders, teams = 99, 250
	var per, snap float64
	for b.Loop() {
		before := heapInUse()
		f := newFeeder(b)
		f.fill(holders, teams)
		per = float64(heapInUse()-before) / (holders * teams)
		bytes := 0
		for _, part := range f.fold.snapshot(32 << 10) {
			bytes += len(f.encode(benchHolder(0), Record{Snapshot: &part}))
		}
		snap = float64(bytes) / (holders * teams)
		runtime.KeepAlive(f)
	}
	b.ReportMetric(per, "B/holding")
	b.ReportMetric(snap, "snapshot-B/holding")
}

// BenchmarkTryUse measures the path of every request: take a unit and return it.
func BenchmarkTryUse(b *testing.B) {
	w := newWorld(fatal{b}, "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 1000)
	w.run(2 * time.Second)
	h := w.hosts[0].holder
	b.ReportAllocs()
	for b.Loop() {
		if !h.TryUse(acme, 1) {
			b.Fatal("no units")
		}
		h.Done(acme, 1)
	}
}

// BenchmarkTick measures an idle tick of a holder with all teams.
func BenchmarkTick(b *testing.B) {
	w := newWorld(fatal{b}, "a", "a")
	w.run(2 * time.Second)
	for i := range 250 {
		w.configure(benchTeam(i), 1000)
	}
	w.run(20 * time.Second)
	h := w.hosts[0].holder
	b.ReportAllocs()
	for b.Loop() {
		h.Step(w.now, Tick{})
	}
}

// BenchmarkIdle measures what one holder writes in a second while nothing
// changes, with snapshots and drift at the pace of production.
func BenchmarkIdle(b *testing.B) {
	const hosts, seconds = 9, 600
	var perSecond, appends float64
	for b.Loop() {
		w := &world{t: fatal{b}, log: &fakelog.Log{}, truth: NewFold(), supply: map[ident.TeamID]int64{}}
		for i := range hosts {
			h := w.birth("a")
			h.holder.cfg = DefaultConfig(h.name, "a")
			_ = i
		}
		w.run(5 * time.Second)
		for i := range 6 {
			w.configure(benchTeam(i), 1000)
		}
		w.run(20 * time.Second)
		bytes, groups := w.log.Bytes, w.log.Appends
		w.run(seconds * time.Second)
		perSecond = float64(w.log.Bytes-bytes) / seconds / hosts
		appends = float64(w.log.Appends-groups) / seconds / hosts
	}
	b.ReportMetric(perSecond, "B/s/host")
	b.ReportMetric(appends, "appends/s/host")
}

// fatal lets a benchmark stand where a test does.
type fatal struct{ *testing.B }
