package capacity

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/request"
)

// digestBytes is the size of a digest as sent, without headers.
func digestBytes(d member.Digest) int {
	wire := &peerv1.Digest{
		Holder: &peerv1.Holder{Host: string(d.Holder.Host), Incarnation: uint64(d.Holder.Incarnation)},
		Zone:   string(d.Zone), Addr: d.Addr, Seq: d.Seq, ConfigOffset: uint64(d.Config),
		FreeSlots: int64(d.FreeSlots), Waiting: int64(d.Waiting), Leases: int64(d.Leases),
		SchedulerEpoch: d.Scheduler, ConfigAgeMs: d.ConfigAge.Milliseconds(),
	}
	for _, s := range d.Services {
		wire.Services = append(wire.Services, string(s))
	}
	return proto.Size(&peerv1.ExchangeRequest{Digest: wire})
}

// BenchmarkZone is a second in the life of a zone's scheduler in full work.
// The figures are for each virtual second, and for each step of a kind.
func BenchmarkZone(b *testing.B) {
	manyHosts, slow, empty, rare := today, letter, letter, letter
	manyHosts.zones, manyHosts.hosts = letter.zones, letter.hosts
	slow.ttl = 9 * time.Second
	empty.tasks, empty.startsPerSec = 1, 10
	rare.appendEvery = 100 * time.Millisecond
	for _, s := range []size{today, manyHosts, empty, letter, slow, rare} {
		b.Run(s.String(), func(b *testing.B) {
			z := newZone(b, s)
			z.load(5 * time.Second)
			z.resetCosts()
			seconds := 0
			for b.Loop() {
				z.load(time.Second)
				seconds++
			}
			z.reportCosts(b, seconds)
			z.reportTraffic(b, seconds)
		})
	}
}

// kinds names the kinds of events whose steps are reported.
var kinds = []struct {
	name string
	ev   engine.Event
}{
	{"tick", engine.Tick{}},
	{"lease", engine.LeaseAnswered{}},
	{"list", engine.Listed{}},
	{"digest", engine.DigestReceived{}},
	{"read", engine.StreamRead{}},
	{"start", engine.StartAnswered{}},
	{"submit", engine.JobSubmitted{}},
}

func (z *zone) reportCosts(b *testing.B, seconds int) {
	var all time.Duration
	for _, c := range z.costs {
		all += c.spent
	}
	for _, k := range kinds {
		if c := z.costs[reflect.TypeOf(k.ev)]; c != nil {
			b.ReportMetric(float64(c.spent.Nanoseconds())/float64(c.n)/1000, k.name+"-µs")
		}
	}
	b.ReportMetric(float64(all.Microseconds())/float64(seconds)/1000, "engine-ms/s")
}

func (z *zone) reportTraffic(b *testing.B, seconds int) {
	s := float64(seconds)
	b.ReportMetric(float64(z.sent.leases)/s, "leases/s")
	b.ReportMetric(float64(z.sent.leaseBytes)/s, "lease-B/s")
	b.ReportMetric(float64(z.sent.starts)/s, "starts/s")
	b.ReportMetric(float64(z.sent.digests)/s, "digests/s")
	b.ReportMetric(float64(z.sent.digestBytes)/s, "digest-B/s")
	b.ReportMetric(float64(z.sent.appends)/s, "appends/s")
	b.ReportMetric(float64(z.sent.records)/s, "records/s")
	b.ReportMetric(float64(z.sent.recordBytes)/s, "record-B/s")
}

// finish answers a request at once.
func (z *zone) finish(cmd engine.CallWorker) {
	z.events = append(z.events, engine.RequestFinished{
		Finished: request.Finished{ID: cmd.ID, Result: request.ResultAnswered}, Worker: cmd.Worker, Epoch: cmd.Epoch,
	})
}

// BenchmarkRequest is one request through the engine, from admission to its
// end, by the workers of the zone, of which this host has its part.
func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{12, 48, 800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			z := newZone(b, size{zones: 4, hosts: 4, workers: workers, teams: 6})
			seq := uint64(1 << 32)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				id := ident.TaskID{Zone: zoneName(0), Host: z.self.Host, Incarnation: z.self.Incarnation, Seq: seq}
				z.events = append(z.events, engine.RequestAdmitted{Request: request.Admitted{
					ID: id, Team: teamName(int(seq) % 6), Service: "invoicing", Deadline: z.now + time.Second,
				}})
				z.settle()
			}
			if z.done == 0 {
				b.Fatal("no request ended")
			}
		})
	}
}

// BenchmarkTickAfterRequests is one tick of a host that answered so many
// requests in each of the last ten seconds.
func BenchmarkTickAfterRequests(b *testing.B) {
	for _, perSecond := range []int{0, 200, 2000} {
		b.Run(fmt.Sprintf("requests=%d", perSecond), func(b *testing.B) {
			z := newZone(b, size{zones: 4, hosts: 4, workers: 12, teams: 6})
			seq := uint64(1 << 32)
			const remembered = 9 // s
			for range remembered {
				for range perSecond {
					seq++
					id := ident.TaskID{Zone: zoneName(0), Host: z.self.Host, Incarnation: z.self.Incarnation, Seq: seq}
					z.events = append(z.events, engine.RequestAdmitted{Request: request.Admitted{
						ID: id, Team: teamName(0), Service: "invoicing", Deadline: z.now + time.Second,
					}})
				}
				z.settle()
				z.run(time.Second)
			}
			for b.Loop() {
				z.eng.Step(z.now, engine.Tick{Wall: wallStart.Add(z.now)})
			}
		})
	}
}

// BenchmarkFacts is the picture for operators that the daemon takes five times
// a second, by the jobs that ended in the last 24 hours.
func BenchmarkFacts(b *testing.B) {
	for _, s := range []size{today, letter} {
		for _, ended := range []int{0, 6700} {
			b.Run(fmt.Sprintf("workers=%d/ended=%d", s.workers, ended), func(b *testing.B) {
				z := newZone(b, s)
				z.endJobs(ended)
				for b.Loop() {
					z.eng.Facts()
				}
			})
		}
	}
}

// endJobs submits and cancels jobs, which stay remembered.
func (z *zone) endJobs(n int) {
	const atOnce = 500
	for n > 0 {
		first := z.jobSeq + 1
		for range min(n, atOnce) {
			spec := z.spec(1, 0)
			spec.Need.MilliCPU = workerSize.MilliCPU // does not fit beside what runs
			z.submit(spec)
		}
		z.run(time.Second)
		for seq := first; seq <= z.jobSeq; seq++ {
			id := ident.JobID{Zone: zoneName(0), Host: z.self.Host, Incarnation: z.self.Incarnation, Seq: seq}
			z.events = append(z.events, engine.JobCancelRequested{Call: seq, Job: id, Deadline: z.now + time.Minute})
		}
		z.run(time.Second)
		n -= atOnce
	}
}

// BenchmarkWaiting is a second of a full zone in which so many jobs wait that
// fit on no worker while its services run.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			z := newZone(b, letter)
			z.queue(waiting)
			z.resetCosts()
			seconds := 0
			for b.Loop() {
				z.load(time.Second)
				seconds++
			}
			z.reportCosts(b, seconds)
		})
	}
}

// BenchmarkConfigInForce is a change of one team's limit, from its record to
// the last part of the engine that it is put in force in.
func BenchmarkConfigInForce(b *testing.B) {
	for _, s := range []size{today, letter} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", s.workers, s.teams), func(b *testing.B) {
			z := newZone(b, s)
			z.run(time.Second)
			state := z.config
			for n := int64(1); b.Loop(); n++ {
				b.StopTimer()
				next, data := z.changeLimit(b, state, n)
				state = next
				z.append(engine.ConfigStream, [][]byte{data})
				b.StartTimer()
				z.answerReads()
				z.settle()
				b.StopTimer()
				z.run(tickEvery)
				b.StartTimer()
			}
		})
	}
}
