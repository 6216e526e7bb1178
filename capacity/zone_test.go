package capacity

import (
	"encoding/json"
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
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/platform"
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
	listing platform.Listing
	workers map[ident.WorkerID]*stubWorker
	peers   map[ident.HostID]*member.Digest
	logs    map[platform.Stream][]platform.Record
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
	epoch map[platform.LeaseClass]platform.Epoch
	tasks []stubTask
}

type stubTask struct {
	report platform.TaskReport
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
		logs:    map[platform.Stream][]platform.Record{},
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

// layOut lists hosts and workers. The driven host is the one that schedules.
func (z *zone) layOut() {
	for i := range z.size.zones {
		name := zoneName(i)
		var hosts []ident.HostID
		for h := range z.size.hosts {
			host := hostName(name, h)
			hosts = append(hosts, host)
			addr := fmt.Sprintf("10.%d.%d.1:7000", i, h)
			z.listing.Hosts = append(z.listing.Hosts, platform.HostEntry{Host: host, Zone: name, Addr: addr, State: platform.StateLive})
			z.peers[host] = &member.Digest{Holder: ident.Holder{Host: host, Incarnation: 1}, Zone: name, Addr: addr, Services: []ident.ServiceID{"invoicing"}}
		}
		if i == 0 {
			z.self = ident.Holder{Host: member.Winner("scheduler/"+string(name), hosts), Incarnation: 1}
		}
		for w := range z.size.workers {
			z.listWorker(i, w)
		}
	}
	delete(z.peers, z.self.Host)
}

func (z *zone) listWorker(zone, n int) {
	const rack = 20
	name := zoneName(zone)
	id := ident.WorkerID(fmt.Sprintf("%s-worker-%03d", name, n))
	z.listing.Workers = append(z.listing.Workers, platform.WorkerEntry{
		Worker: id, Zone: name, Rack: fmt.Sprintf("%s-rack-%02d", name, n/rack), Addr: fmt.Sprintf("10.%d.%d.%d:8000", zone, n/250, n%250),
		Size: workerSize, Service: []ident.ServiceID{"invoicing"}, State: platform.StateLive,
	})
	if zone == 0 {
		z.workers[id] = &stubWorker{epoch: map[platform.LeaseClass]platform.Epoch{}}
	}
}

// unitsPerHost is what each host gets of each team's limit: enough for every
// task of its zone.
const unitsPerHost = 100_000

// services is the number of services whose replicas run.
const services = 20

// configure writes the configuration: teams with a key each, and services.
func (z *zone) configure(tb testing.TB) {
	tb.Helper()
	state, err := configuration(z.size, services)
	if err != nil {
		tb.Fatal(err)
	}
	z.config = fleet.Empty()
	for _, data := range state {
		z.append(engine.ConfigStream, [][]byte{data})
		z.config = applied(tb, z.config, data)
	}
}

// applied folds a change.
func applied(tb testing.TB, state *fleet.State, data []byte) *fleet.State {
	tb.Helper()
	next, result, err := fleet.Apply(state, platform.Record{Offset: state.Offset() + 1, Data: data})
	if err != nil || result.Status != fleet.StatusApplied {
		tb.Fatal(err, result.Reason)
	}
	return next
}

// changeLimit makes the record of a raised limit.
func (z *zone) changeLimit(tb testing.TB, state *fleet.State, by int64) (*fleet.State, []byte) {
	tb.Helper()
	limit := int64(z.size.zones*z.size.hosts)*unitsPerHost + by
	plan, err := fleet.MakePlan(state, fleet.Intent{Teams: []fleet.WantTeam{{Team: teamName(1), Limit: &limit}}}, "asha", wallStart, fleet.NoImpact{})
	if err != nil {
		tb.Fatal(err)
	}
	data, err := fleet.EncodeChange(plan.Change("asha", wallStart))
	if err != nil {
		tb.Fatal(err)
	}
	return applied(tb, state, data), data
}

// configuration returns the records of a configuration.
func configuration(s size, services int) ([][]byte, error) {
	source := rand.New(rand.NewSource(1))
	intent := fleet.Intent{}
	for i := range s.teams {
		limit, share := int64(s.zones*s.hosts)*unitsPerHost, int64(1)
		team := teamName(i)
		_, id, hash, err := fleet.NewKey(source)
		if err != nil {
			return nil, err
		}
		intent.Teams = append(intent.Teams, fleet.WantTeam{Team: team, Share: &share, Limit: &limit})
		intent.Keys = append(intent.Keys, fleet.WantKey{Action: fleet.KeyGive, Team: team, Key: id, Hash: hash})
	}
	for i := range min(services, servicesAtOnce) {
		replicas, team := s.zones*s.workers*s.tasks/serviceShare/services, teamName(i%s.teams)
		intent.Services = append(intent.Services, fleet.WantService{
			Service: ident.ServiceID(fmt.Sprintf("service-%03d", i)), Team: &team, Replicas: &replicas, Need: &taskNeed,
		})
	}
	plan, err := fleet.MakePlan(fleet.Empty(), intent, "asha", wallStart, fleet.NoImpact{})
	if err != nil {
		return nil, err
	}
	data, err := fleet.EncodeChange(plan.Change("asha", wallStart))
	return [][]byte{data}, err
}

// servicesAtOnce keeps a configuration within one change.
const servicesAtOnce = 250

var wallStart = time.Unix(1_800_000_000, 0).UTC()

// joinLedger makes every other host a member of the ledger of limit units.
func (z *zone) joinLedger(tb testing.TB) {
	tb.Helper()
	for _, h := range z.listing.Hosts {
		if h.Host == z.self.Host {
			continue
		}
		data, err := ledger.Encode(ledger.Record{Writer: ident.Holder{Host: h.Host, Incarnation: 1}, Num: 1, Join: &ledger.Join{Zone: h.Zone}})
		if err != nil {
			tb.Fatal(err)
		}
		z.append(ledger.StreamName, [][]byte{data})
	}
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

func (z *zone) append(stream platform.Stream, group [][]byte) {
	z.sent.appends++
	z.sent.records += len(group)
	for _, data := range group {
		z.sent.recordBytes += len(data)
		z.logs[stream] = append(z.logs[stream], platform.Record{Offset: platform.Offset(len(z.logs[stream]) + 1), Data: data})
	}
}

// answerReads answers reads that found something or waited long enough.
func (z *zone) answerReads() {
	open := z.reads
	z.reads = nil
	for _, r := range open {
		records := z.logs[r.Stream]
		page := platform.Page{Last: platform.Offset(len(records))}
		if len(records) > 0 {
			page.First = 1
		}
		if from := int(min(r.After, page.Last)); from < len(records) {
			page.Records = records[from:min(from+r.Limit, len(records))]
		}
		if len(page.Records) == 0 && z.now < r.until {
			z.reads = append(z.reads, r)
			continue
		}
		z.events = append(z.events, engine.StreamRead{Stream: r.Stream, Tag: r.Tag, Page: page})
	}
}

// lease grants or renews a lease.
func (z *zone) lease(cmd engine.SendLease) {
	w := z.workers[cmd.Key.Worker]
	if cmd.Request.Epoch == 0 {
		w.epoch[cmd.Key.Class]++
	}
	w.forget(cmd.Request.AckedEnds)
	grant := platform.LeaseGrant{Epoch: w.epoch[cmd.Key.Class], Size: workerSize}
	if cmd.Key.Class == platform.ClassCompute {
		grant.Tasks = w.report(z.now)
	}
	z.sent.leases++
	z.sent.leaseBytes += jsonBytes(cmd.Request) + jsonBytes(grant)
	z.events = append(z.events, engine.LeaseAnswered{Key: cmd.Key, SentAt: cmd.SentAt, Epoch: cmd.Request.Epoch, Grant: grant})
}

func (z *zone) start(cmd engine.StartTask) {
	w := z.workers[cmd.Worker]
	w.tasks = append(w.tasks, stubTask{
		report: platform.TaskReport{ID: cmd.Request.ID, Team: cmd.Request.Team, Need: cmd.Request.Need, Holder: cmd.Request.Holder, Usage: cmd.Request.Need},
		began:  z.now, run: cmd.Request.Run,
	})
	z.sent.starts++
	z.sent.startBytes += jsonBytes(cmd.Request)
	z.events = append(z.events, engine.StartAnswered{ID: cmd.ID, Worker: cmd.Worker, Epoch: cmd.Request.Epoch})
}

// report lists the tasks of a worker.
func (w *stubWorker) report(now time.Duration) []platform.TaskReport {
	list := make([]platform.TaskReport, len(w.tasks))
	for i := range w.tasks {
		t := &w.tasks[i]
		if !t.report.Ended {
			t.report.Ran = now - t.began
			t.report.Ended = t.run > 0 && t.report.Ran >= t.run
		}
		list[i] = t.report
	}
	return list
}

// forget drops acknowledged ends.
func (w *stubWorker) forget(ids []string) {
	w.tasks = slices.DeleteFunc(w.tasks, func(t stubTask) bool { return t.report.Ended && slices.Contains(ids, t.report.ID) })
}

func (w *stubWorker) stop(id string) {
	for i := range w.tasks {
		if w.tasks[i].report.ID == id {
			w.tasks[i].report.Ended = true
			w.tasks[i].report.Stopped = true
		}
	}
}

func jsonBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // types of the wire can be rendered
	}
	return len(data)
}
