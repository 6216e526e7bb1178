package capacity

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// size is the size of a fleet and of the one zone that is driven.
type size struct {
	zones        int
	hosts        int // of each zone
	workers      int // of each zone
	tasks        int // running on each worker of the zone that is driven
	teams        int
	startsPerSec int           // of the zone
	ttl          time.Duration // of control leases; zero for the default of the settings
	appendEvery  time.Duration // least time between appends of jobs; zero for the default
}

// today is one of the fleets that run now, letter the one to design for: a
// thirty-third of 26,000 workers, 250,000 tasks and 3,200 starts a second.
var (
	today  = size{zones: 4, hosts: 2, workers: 12, tasks: 10, teams: 6, startsPerSec: 2}
	letter = size{zones: 33, hosts: 4, workers: 800, tasks: 10, teams: 250, startsPerSec: 100}
)

func (s size) String() string {
	return fmt.Sprintf("zones=%d/workers=%d/tasks=%d/teams=%d/starts=%d/ttl=%v/append=%v",
		s.zones, s.workers, s.tasks, s.teams, s.startsPerSec, s.lease().TTL, s.jobs(ident.Holder{}).AppendInterval)
}

// lease gives the lease times of the settings' defaults, or others in
// proportion.
func (s size) lease() lease.Options {
	const taskTTLs = 4 // task TTL by TTL
	ttl := s.ttl
	if ttl == 0 {
		ttl = 3 * time.Second
	}
	return lease.Options{TTL: ttl, TaskTTL: taskTTLs * ttl}
}

// jobs gives the pace of the owner of the zone's job stream.
func (s size) jobs(self ident.Holder) jobs.Config {
	cfg := jobs.DefaultConfig(zoneName(0), self)
	if s.appendEvery > 0 {
		cfg.AppendInterval = s.appendEvery
	}
	return cfg
}

// The times of the driver, as in package entry.
const (
	tickEvery = 20 * time.Millisecond
	listEvery = time.Second
)

// workerSize is the size of every worker.
var workerSize = resource.Vector{MilliCPU: 32_000, MemoryMiB: 64 << 10, Slots: 8, Connections: 64}

// taskNeed is what one task takes of a worker: more than a tenth, so that a
// worker runs ten of them and has little room left.
var taskNeed = resource.Vector{MilliCPU: 2_500, MemoryMiB: 1 << 10}

// serviceShare is one in how many tasks is a replica of a service.
const serviceShare = 5

// cost is the time that steps of one kind of event took.
type cost struct {
	n     int
	spent time.Duration
}

// zone is the engine of a zone's scheduler, and a platform that answers it at
// once.
type zone struct {
	size    size
	eng     *engine.Engine
	self    ident.Holder
	now     time.Duration
	listing ports.Listing
	workers map[ident.WorkerID]*stubWorker
	peers   map[ident.HostID]*member.Digest
	logs    map[ports.Stream][]ports.Record
	reads   []openRead
	events  []engine.Event
	jobSeq  uint64
	config  *fleet.State
	rng     *rand.Rand
	costs   map[reflect.Type]*cost
	sent    traffic
	done    int     // requests that ended
	owed    float64 // submissions that are due
}

// openRead is a read of the log that waits for news.
type openRead struct {
	engine.ReadStream
	until time.Duration
}

// traffic counts what the engine asked to have sent.
type traffic struct {
	leases, leaseBytes   int // requests and answers, JSON
	starts, startBytes   int
	digests, digestBytes int
	appends, records     int
	recordBytes          int
}

// stubWorker grants every lease and runs every task.
type stubWorker struct {
	epoch map[ports.LeaseClass]ports.Epoch
	tasks []stubTask
}

type stubTask struct {
	report ports.TaskReport
	began  time.Duration
	run    time.Duration // zero for a replica
}

// zoneName names a zone.
func zoneName(n int) ident.Zone { return ident.Zone(fmt.Sprintf("region-%02d-zone-%d", n/3, n%3)) }

func hostName(z ident.Zone, n int) ident.HostID { return ident.HostID(fmt.Sprintf("%s-host-%d", z, n)) }

func teamName(n int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%03d", n)) }

// newZone starts the scheduler of the first zone and runs it until the zone is
// full.
func newZone(tb testing.TB, s size) *zone {
	tb.Helper()
	z := &zone{
		size:    s,
		workers: map[ident.WorkerID]*stubWorker{},
		peers:   map[ident.HostID]*member.Digest{},
		logs:    map[ports.Stream][]ports.Record{},
		rng:     rand.New(rand.NewSource(1)),
		costs:   map[reflect.Type]*cost{},
	}
	z.layOut()
	z.configure(tb)
	z.joinLedger(tb)
	zones := make([]ident.Zone, s.zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	z.eng = engine.New(engine.Options{Self: z.self, Zone: zoneName(0), Zones: zones, Addr: "10.0.0.1:7000", Seed: 1, Lease: s.lease(), Jobs: s.jobs(z.self)})
	z.run(20 * time.Second) // leases gained, ledger joined, stream owned
	if !z.eng.Schedules() {
		tb.Fatal("the host does not schedule its zone")
	}
	z.fill()
	z.load(10 * time.Second)
	if have, want := z.running(), s.workers*s.tasks; have < want*7/10 {
		tb.Fatalf("%d tasks run, want about %d", have, want)
	}
	z.resetCosts()
	return z
}

func (z *zone) resetCosts() {
	clear(z.costs)
	z.sent = traffic{}
}

// spec is a job of n tasks.
func (z *zone) spec(n int, run time.Duration) work.Spec {
	return work.Spec{Kind: work.KindBatch, Team: teamName(z.rng.Intn(z.size.teams)), Name: "nightly-statements", Need: taskNeed, Tasks: n, Run: run, MaxAttempts: 3}
}

// submit hands in a job.
func (z *zone) submit(spec work.Spec) {
	z.jobSeq++
	id := ident.JobID{Zone: zoneName(0), Host: z.self.Host, Incarnation: z.self.Incarnation, Seq: z.jobSeq}
	z.events = append(z.events, engine.JobSubmitted{Call: z.jobSeq, ID: id, Spec: spec, Deadline: z.now + time.Minute})
}

// fill starts as many tasks as are meant to run, with run times spread so that
// they end at the rate at which others start.
func (z *zone) fill() {
	batch := z.size.workers * z.size.tasks * (serviceShare - 1) / serviceShare
	run := z.taskRun()
	const tasksPerJob = 10
	for i := 0; i < batch; i += tasksPerJob {
		z.submit(z.spec(tasksPerJob, time.Second+time.Duration(z.rng.Int63n(int64(run)))))
	}
}

// taskRun is the run time of a batch task that keeps the zone full at its rate
// of starts.
func (z *zone) taskRun() time.Duration {
	batch := z.size.workers * z.size.tasks * (serviceShare - 1) / serviceShare
	return time.Duration(batch) * time.Second / time.Duration(max(z.size.startsPerSec, 1))
}

// running counts tasks that run.
func (z *zone) running() int {
	n := 0
	for _, w := range z.workers {
		for _, t := range w.tasks {
			if !t.report.Ended {
				n++
			}
		}
	}
	return n
}

// run lets virtual time pass.
func (z *zone) run(d time.Duration) {
	for end := z.now + d; z.now < end; {
		z.now += tickEvery
		if z.now%listEvery == 0 {
			z.secondly()
		}
		z.step(engine.Tick{Wall: wallStart.Add(z.now)})
		z.answerReads()
		z.settle()
	}
}

// secondly is what comes in from elsewhere every second.
func (z *zone) secondly() {
	z.events = append(z.events, engine.Listed{Listing: z.listing})
	for _, h := range z.listing.Hosts {
		if h.Zone == zoneName(0) && h.Host != z.self.Host {
			z.events = append(z.events, engine.DigestReceived{Digest: z.digestOf(h.Host)})
		}
	}
}

func (z *zone) digestOf(host ident.HostID) member.Digest {
	d := z.peers[host]
	d.Seq++
	d.Config = 1
	return *d
}

// load submits jobs of one task at the rate of starts for a while.
func (z *zone) load(d time.Duration) {
	for end := z.now + d; z.now < end; {
		z.owed += float64(z.size.startsPerSec) * tickEvery.Seconds()
		for ; z.owed >= 1; z.owed-- {
			z.submit(z.spec(1, z.taskRun()))
		}
		z.run(tickEvery)
	}
}

// settle hands over answers until none is left.
func (z *zone) settle() {
	for len(z.events) > 0 {
		next := z.events[0]
		z.events = z.events[1:]
		z.step(next)
	}
}

// step gives the engine one event and books what it took.
func (z *zone) step(ev engine.Event) {
	kind := reflect.TypeOf(ev)
	started := time.Now()
	cmds := z.eng.Step(z.now, ev)
	spent := time.Since(started)
	c := z.costs[kind]
	if c == nil {
		c = &cost{}
		z.costs[kind] = c
	}
	c.n++
	c.spent += spent
	for _, cmd := range slices.Clone(cmds) {
		z.carry(cmd)
	}
}

func (z *zone) carry(cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		z.lease(cmd)
	case engine.SendRelease:
		z.events = append(z.events, engine.ReleaseAnswered{Key: cmd.Key, Epoch: cmd.Epoch})
	case engine.SendDigest:
		z.sent.digests++
		z.sent.digestBytes += digestBytes(cmd.Digest)
		z.events = append(z.events, engine.DigestReceived{Digest: z.digestOf(cmd.Host)})
	case engine.AppendGroup:
		z.append(cmd.Stream, cmd.Group)
		z.events = append(z.events, engine.Appended{Stream: cmd.Stream, Tag: cmd.Tag})
	case engine.ReadStream:
		z.reads = append(z.reads, openRead{ReadStream: cmd, until: z.now + cmd.Wait})
	case engine.StartTask:
		z.start(cmd)
	case engine.ControlTask:
		z.workers[cmd.Worker].stop(cmd.Request.ID)
	case engine.CallWorker:
		z.finish(cmd)
	case engine.RequestDone:
		z.done++
	}
}
