package ledger

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

// TestMain fixes the histories of the property tests.
func TestMain(m *testing.M) {
	if err := fakelog.FixHistories(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fataler is the part of testing.T and rapid.T that a world needs.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// task is something that runs on a worker. It uses units of owner.
type task struct {
	team  ident.TeamID
	units int64
	owner *host
}

// host is a holder with its open calls and what it was told.
type host struct {
	holder *Holder
	name   ident.Holder
	zone   ident.Zone
	leases bool // holds a worker's lease, in truth
	view   bool // and as it last told the holder
	calls  fakelog.Calls
	heard  []stream.Command // everything else, in order
	over   bool             // told to start over, or left
	dead   bool             // the process is gone, or paused
	missed []*task          // that ended meanwhile
	claims map[ident.Holder][]*task
}

// world is a few hosts on one ledger, with one clock that tests move.
type world struct {
	t        fataler
	log      *fakelog.Log
	now      time.Duration
	hosts    []*host
	tasks    []*task
	asks     []sentAsk
	births   int
	truth    *Fold
	supply   map[ident.TeamID]int64
	versions ports.Offset
}

// sentAsk is a request on its way.
type sentAsk struct {
	from ident.Holder
	ask  Ask
}

func newWorld(t fataler, zones ...ident.Zone) *world {
	w := &world{t: t, log: &fakelog.Log{}, truth: NewFold(), supply: map[ident.TeamID]int64{}}
	for _, z := range zones {
		w.birth(z)
	}
	return w
}

// testConfig has short waits and small bounds, so that every path is taken.
func testConfig(self ident.Holder, zone ident.Zone) Config {
	cfg := DefaultConfig(self, zone)
	cfg.SnapshotEvery = 40
	cfg.SnapshotAfter = 20 * time.Second
	cfg.SnapshotBytes = 300
	cfg.DriftInterval = 5 * time.Second
	cfg.PageLimit = 5
	cfg.ProbeRecords = 8
	cfg.TeamsPerRecord = 2
	return cfg
}

// birth starts a process that holds a lease.
func (w *world) birth(zone ident.Zone) *host {
	w.births++
	name := ident.Holder{Host: ident.HostID(fmt.Sprintf("h%02d", w.births)), Incarnation: 1}
	h := &host{
		holder: NewHolder(testConfig(name, zone)),
		name:   name,
		zone:   zone,
		calls:  fakelog.Calls{Log: w.log},
		claims: map[ident.Holder][]*task{},
	}
	w.hosts = append(w.hosts, h)
	w.lease(h, true)
	return h
}

// lease gives a host a lease of a worker, or takes the last one away. The host
// learns at once of what it gains, and of a loss only when it next looks.
func (w *world) lease(h *host, any bool) {
	h.leases = any
	if !any {
		return
	}
	if h.view {
		w.step(h, LeasesHeld{Any: false})
	}
	h.view = true
	w.step(h, LeasesHeld{Any: true})
}

func (w *world) step(h *host, ev stream.Event) {
	w.t.Helper()
	for _, cmd := range h.holder.Step(w.now, ev) {
		w.hear(h, cmd)
	}
}

func (w *world) hear(h *host, cmd stream.Command) {
	if h.calls.Take(cmd) {
		return
	}
	switch cmd := cmd.(type) {
	case Ask:
		w.asks = append(w.asks, sentAsk{from: h.name, ask: cmd})
		return
	case Dethroned, Left:
		h.over = true
	case Reclaimed:
		delete(h.claims, cmd.Dead)
	case ReclaimVoid:
		w.giveTasksBack(h, cmd.Dead)
	}
	h.heard = append(h.heard, cmd)
}

// answer answers the i-th open call of a host.
func (w *world) answer(h *host, i int, fate fakelog.Fate) {
	w.t.Helper()
	w.step(h, h.calls.Answer(i, fate))
}

// run lets everything go well for a while.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	const pace = 50 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += pace {
		for _, h := range w.hosts {
			if !h.dead {
				w.turn(h)
			}
		}
		w.deliver()
		w.check()
	}
}

// turn lets one host tick and answers its calls.
func (w *world) turn(h *host) {
	w.t.Helper()
	w.step(h, Tick{})
	for range h.calls.Len() {
		w.answer(h, 0, fakelog.Fine)
	}
}

// deliver hands over all requests that are on their way.
func (w *world) deliver() {
	asks := w.asks
	w.asks = nil
	for _, a := range asks {
		w.deliverOne(a)
	}
}

func (w *world) deliverOne(a sentAsk) {
	for _, h := range w.hosts {
		if h.name == a.ask.Peer && !h.dead {
			w.step(h, Asked{From: a.from, Team: a.ask.Team, Units: a.ask.Units, Lack: a.ask.Lack, Seq: a.ask.Seq})
		}
	}
}

// configure tells a limit to the hosts given, or to all.
func (w *world) configure(team ident.TeamID, limit int64, hosts ...*host) {
	w.versions++
	if len(hosts) == 0 {
		hosts = w.hosts
	}
	for _, h := range hosts {
		if !h.dead {
			w.step(h, Configured{Teams: []TeamLimit{{Team: team, Limit: limit, Version: w.versions}}})
		}
	}
}

// start tries to run a task on a worker. The worker refuses it if the host has
// no lease in truth, and the host then learns that it has none.
func (w *world) start(h *host, team ident.TeamID, units int64) bool {
	if h.over || !h.holder.TryUse(team, units) {
		return false
	}
	if !h.leases {
		h.holder.Done(team, units)
		h.view = false
		w.step(h, LeasesHeld{Any: false})
		return false
	}
	w.tasks = append(w.tasks, &task{team: team, units: units, owner: h})
	return true
}

// end ends the i-th running task.
func (w *world) end(i int) {
	t := w.tasks[i]
	w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
	if t.owner.dead {
		t.owner.missed = append(t.owner.missed, t)
		return
	}
	t.owner.holder.Done(t.team, t.units)
}

// wake lets a paused process go on and see what ended meanwhile.
func (w *world) wake(h *host) {
	h.dead = false
	for _, t := range h.missed {
		h.holder.Done(t.team, t.units)
	}
	h.missed = nil
}

// running sums the units in use of a team.
func (w *world) running(team ident.TeamID) int64 {
	var sum int64
	for _, t := range w.tasks {
		if t.team == team {
			sum += t.units
		}
	}
	return sum
}

// prove hands a host the proof that another one, which holds no lease at this
// moment, can start nothing. Its tasks run on under the first one.
func (w *world) prove(by, dead *host) {
	if by == dead || by.over || by.dead || by.zone != dead.zone || dead.leases || by.claims[dead.name] != nil {
		return
	}
	adopted := map[ident.TeamID]int64{}
	claimed := []*task{}
	for _, t := range w.tasks {
		if t.owner == dead {
			adopted[t.team] += t.units
			claimed = append(claimed, t)
			t.owner = by
		}
	}
	by.claims[dead.name] = claimed
	w.step(by, ReclaimProved{Dead: dead.name, Adopted: adopted})
}

// giveTasksBack undoes an adoption that had no effect: what still runs counts
// for its former holder, what ended was counted by both.
func (w *world) giveTasksBack(by *host, dead ident.Holder) {
	claimed := by.claims[dead]
	delete(by.claims, dead)
	var former *host
	for _, h := range w.hosts {
		if h.name == dead {
			former = h
		}
	}
	for _, t := range claimed {
		if t.owner == by {
			t.owner = former
		}
	}
	for _, t := range claimed {
		if !w.runs(t) {
			by.holder.used[t.team] += t.units
			former.holder.Done(t.team, t.units)
		}
	}
}

func (w *world) runs(t *task) bool {
	for _, other := range w.tasks {
		if other == t {
			return true
		}
	}
	return false
}

// check folds what is new in the log and checks that no units came from
// nowhere and that no more run than there are.
func (w *world) check() {
	w.t.Helper()
	for _, rec := range w.log.Records() {
		if rec.Offset <= w.truth.after {
			continue
		}
		w.truth.Apply(rec.Offset, rec.Data)
		for _, id := range w.truth.Teams() {
			w.checkSupply(id)
		}
	}
	for _, id := range w.truth.Teams() {
		if running := w.running(id); running > w.supply[id] {
			w.t.Fatalf("%d units of %s run, %d exist", running, id, w.supply[id])
		}
	}
}

func (w *world) checkSupply(id ident.TeamID) {
	w.t.Helper()
	sum, limit := w.truth.Sum(id)
	var held int64
	for _, units := range w.truth.teams[id].held {
		if units <= 0 {
			w.t.Fatalf("a holder of %s with %d units", id, units)
		}
		held += units
	}
	if held != sum {
		w.t.Fatalf("%s: %d units held, the sum says %d", id, held, sum)
	}
	if sum > max(limit, w.supply[id]) {
		w.t.Fatalf("%s: %d units where %d were, limit %d", id, sum, w.supply[id], limit)
	}
	w.supply[id] = sum
}

// knowsLimit reports whether a host has read the limit that is in force.
func (w *world) knowsLimit(h *host, team ident.TeamID) bool {
	known, truth := h.holder.fold.teams[team], w.truth.teams[team]
	return known != nil && truth != nil && known.version == truth.version
}
