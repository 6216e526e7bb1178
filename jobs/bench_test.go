package jobs

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"github.com/fireflyfold/fireflyfold/work"
)

// benchJob is a batch job of one task as a deployment would hand it in.
func benchJob(seq uint64) ident.JobID {
	return ident.JobID{Zone: "oberbayern-a", Host: "entry-a-1", Incarnation: 0x1234567890, Seq: seq}
}

// lifeOf lists the records of a job from acceptance to its end.
func lifeOf(seq uint64) []Record {
	attempt := ident.AttemptID{Job: benchJob(seq), Attempt: 1}
	spec := work.Spec{
		Kind: work.KindBatch, Team: "grants", Name: "quote-check", Tasks: 1, Run: time.Minute,
		Need: resource.Vector{MilliCPU: 2000, MemoryMiB: 4096}, MaxAttempts: 3,
	}
	key := KeyHash(fmt.Sprintf("%032x", seq))
	return []Record{
		{Accepted: &Accepted{Job: benchJob(seq), Key: key, Fingerprint: Fingerprint(key), Spec: spec, AcceptedAt: 1_790_000_000_000}},
		{Assigned: &Assigned{Attempt: attempt, Worker: "worker-a-0017", Lease: 42}},
		{Ended: &Ended{Attempt: attempt, Result: ResultSucceeded}},
		{JobEnded: &JobEnded{Job: benchJob(seq), Outcome: work.OutcomeRan, Keep: 86_400_000}},
	}
}

// encoded renders records as an owner of epoch 1 would write them.
func encoded(b *testing.B, recs []Record) [][]byte {
	b.Helper()
	out := make([][]byte, 0, len(recs))
	for i, r := range recs {
		r.Epoch, r.Num, r.Elapsed = 1, uint64(i+1), int64(i)
		data, err := Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, data)
	}
	return out
}

func benchFold(b *testing.B) *Fold {
	b.Helper()
	f := NewFold()
	fence, err := Encode(Record{Fence: &Fence{Owner: ident.Holder{Host: "entry-a-1", Incarnation: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	f.Apply(1, fence)
	return f
}

// BenchmarkFold measures one record of a job's life, and the bytes of a life.
func BenchmarkFold(b *testing.B) {
	const jobs = 2000
	var recs []Record
	for seq := range uint64(jobs) {
		recs = append(recs, lifeOf(seq)...)
	}
	data := encoded(b, recs)
	bytes := 0
	for _, d := range data {
		bytes += len(d)
	}
	b.ReportAllocs()
	f, at := benchFold(b), ports.Offset(1)
	for i := 0; b.Loop(); i++ {
		if i%len(data) == 0 {
			f, at = benchFold(b), 1
		}
		at++
		f.Apply(at, data[i%len(data)])
	}
	b.ReportMetric(float64(bytes)/jobs, "B/job")
}

// heapInUse returns the bytes in use after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures what a live job with one open attempt, and one that
// ended and is remembered, take in the fold.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct {
		name    string
		records int
	}{{"running", 2}, {"ended", 4}} {
		b.Run(c.name, func(b *testing.B) {
			const jobs = 20_000
			var per float64
			for b.Loop() {
				before := heapInUse()
				f, at := benchFold(b), ports.Offset(1)
				var recs []Record
				for seq := range uint64(jobs) {
					recs = append(recs, lifeOf(seq)[:c.records]...)
				}
				for _, d := range encoded(b, recs) {
					at++
					f.Apply(at, d)
				}
				recs = nil
				per = float64(heapInUse()-before) / jobs
				runtime.KeepAlive(f)
			}
			b.ReportMetric(per, "B/job")
		})
	}
}

// BenchmarkOwner measures a proposal from Propose to Effective against a log
// that answers at once, and how many records go into an append when proposals
// come at a steady rate. It writes the jobs again as they age.
func BenchmarkOwner(b *testing.B) {
	for _, perSecond := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			benchOwner(b, perSecond)
		})
	}
}

// pump joins an owner to a log that answers at once. A read that finds nothing
// waits for the next append.
type pump struct {
	owner     *Owner
	log       *fakelog.Log
	waiting   *Read
	effective int
}

func (p *pump) step(now time.Duration, ev Event) {
	p.do(now, p.owner.Step(now, ev))
	if r := p.waiting; r != nil && r.After < p.log.Last() {
		p.waiting = nil
		p.do(now, p.owner.Step(now, p.log.Answer(*r, fakelog.Fine)))
	}
}

func (p *pump) do(now time.Duration, cmds []Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case Effective:
			p.effective++
		case Read:
			if cmd.Wait > 0 && cmd.After == p.log.Last() {
				p.waiting = &cmd
				continue
			}
			p.step(now, p.log.Answer(cmd, fakelog.Fine))
		case Append:
			p.step(now, p.log.Answer(cmd, fakelog.Fine))
		}
	}
}

func benchOwner(b *testing.B, perSecond int) {
	const tick = 5 * time.Millisecond
	log, now := &fakelog.Log{}, time.Duration(0)
	p := &pump{owner: NewOwner(DefaultConfig("a", ident.Holder{Host: "entry-a-1", Incarnation: 1})), log: log}
	p.step(now, WantOwnership{Want: true})
	for range 10 {
		now += tick
		p.step(now, Tick{})
	}
	appends, bytes, start, proposed := log.Appends, log.Bytes, now, 0
	b.ReportAllocs()
	for b.Loop() {
		for time.Duration(proposed)*time.Second/time.Duration(perSecond) > now-start {
			now += tick
			p.step(now, Tick{})
		}
		proposed++
		p.step(now, Propose{ID: ProposalID(proposed), Body: lifeOf(uint64(proposed))[0]})
	}
	grown := max(1, log.Appends-appends)
	b.ReportMetric(float64(p.effective)/float64(grown), "records/append")
	b.ReportMetric(float64(log.Bytes-bytes)/float64(max(1, p.effective)), "B/record")
}
