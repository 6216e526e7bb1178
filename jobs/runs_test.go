package jobs

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"pgregory.net/rapid"
)

const (
	leaseTTL = 2 * time.Second
	taskTTL  = 4 * time.Second
)

// machine is a worker: it grants one lease at a time, refuses starts of another
// epoch, and stops its tasks a task TTL after the last renewal.
type machine struct {
	id         ident.WorkerID
	epoch      ports.Epoch
	holder     *runner
	leaseUntil time.Duration
	tasksUntil time.Duration
	tasks      map[string]*ports.TaskReport
	cut        map[*runner]bool // out of reach of
	mute       map[*runner]bool // its answers do not reach
}

func (m *machine) list() []ports.TaskReport {
	var out []ports.TaskReport
	for _, t := range m.tasks {
		out = append(out, *t)
	}
	return out
}

// runner is a host that schedules: an owner, its recovery and its leases.
type runner struct {
	*host
	rec      *Recovery
	leases   map[ident.WorkerID]ports.Epoch // as it believes
	until    map[ident.WorkerID]time.Duration
	off      map[ident.WorkerID]bool // keeps off by HoldOff
	promised map[ident.WorkerID]bool // keeps off by a promise
	asked    map[ProposalID]Assigned
	busy     map[ident.JobID]bool // has a proposal that is not settled
	paused   bool
	deaf     bool // does not hear the other host
}

// start is a start on its way to a worker.
type start struct {
	to      *machine
	epoch   ports.Epoch
	attempt ident.AttemptID
}

// plant is a zone of two hosts and two workers.
type plant struct {
	t        *rapid.T
	w        *world
	runners  []*runner
	machines []*machine
	starts   []start
	runs     map[ident.JobID]int
	jobs     uint64
}

func newPlant(t *rapid.T) *plant {
	p := &plant{t: t, w: newWorld(t, 2), runs: map[ident.JobID]int{}}
	for _, h := range p.w.hosts {
		p.runners = append(p.runners, &runner{
			host: h, leases: map[ident.WorkerID]ports.Epoch{}, until: map[ident.WorkerID]time.Duration{},
			off: map[ident.WorkerID]bool{}, promised: map[ident.WorkerID]bool{},
			asked: map[ProposalID]Assigned{}, busy: map[ident.JobID]bool{},
		})
	}
	for _, id := range []ident.WorkerID{"w1", "w2"} {
		p.machines = append(p.machines, &machine{id: id, tasks: map[string]*ports.TaskReport{}, cut: map[*runner]bool{}, mute: map[*runner]bool{}})
	}
	return p
}

// pass lets time pass on the workers.
func (p *plant) pass(d time.Duration) {
	p.w.now += d
	for _, m := range p.machines {
		for _, t := range m.tasks {
			if p.w.now >= m.tasksUntil && !t.Ended {
				t.Ended, t.Stopped = true, true
			}
		}
	}
}

// step hands an event to a runner's owner and acts on what it says.
func (p *plant) step(r *runner, ev stream.Event) {
	from := len(r.heard)
	p.w.step(r.host, ev)
	for _, cmd := range r.heard[from:] {
		switch cmd := cmd.(type) {
		case BecameOwner:
			cfg := RecoveryConfig{TaskTTL: taskTTL, Drift: 100 * time.Millisecond, InFlight: time.Second, AskEvery: 300 * time.Millisecond}
			r.rec = NewRecovery(cfg, cmd.Epoch, r.owner.State().Open())
			clear(r.busy)
			p.recover(r, ZoneHosts{Hosts: []ident.HostID{p.other(r).name.Host}})
		case LostOwnership:
			r.rec = nil
			clear(r.off)
		}
	}
	for id, a := range r.asked {
		if final := r.final[id]; final != nil {
			delete(r.asked, id)
			p.assigned(r, a, final)
		}
	}
	if r.rec != nil {
		p.recover(r, RecoveryTick{})
	}
}

func (p *plant) other(r *runner) *runner {
	if p.runners[0] == r {
		return p.runners[1]
	}
	return p.runners[0]
}

// assigned sends the start of an attempt that is effective.
func (p *plant) assigned(r *runner, a Assigned, final stream.Command) {
	delete(r.busy, a.Attempt.Job)
	if _, ok := final.(Effective); !ok {
		return
	}
	for _, m := range p.machines {
		if m.id == a.Worker {
			p.starts = append(p.starts, start{to: m, epoch: a.Lease, attempt: a.Attempt})
		}
	}
}

// recover hands an event to a runner's recovery and acts on what it says.
func (p *plant) recover(r *runner, ev RecoveryEvent) {
	for _, cmd := range r.rec.Step(p.w.now, ev) {
		switch cmd := cmd.(type) {
		case Resolve:
			p.ended(r, cmd.Attempt.Attempt, cmd.Result)
		case HoldOff:
			r.off[cmd.Worker] = true
		case Resume:
			delete(r.off, cmd.Worker)
		case Reacquire:
			delete(r.leases, cmd.Worker)
		case ReleasePromise:
			delete(p.other(r).promised, cmd.Worker)
		case AskPromise:
			if peer := p.other(r); !peer.paused && !peer.deaf {
				peer.promised[cmd.Worker] = true
				p.recover(r, PeerPromise{From: peer.name, Worker: cmd.Worker, Seq: cmd.Seq})
			}
		}
		if r.rec == nil {
			return
		}
	}
}

func (p *plant) ended(r *runner, a ident.AttemptID, result Result) {
	p.w.propose(r.host, Record{Ended: &Ended{Attempt: a, Result: result}}, 0)
}

// lease renews or acquires the lease of a worker; the answer may be lost.
func (p *plant) lease(r *runner, m *machine, answered bool) {
	if r.off[m.id] || r.promised[m.id] || m.cut[r] {
		return
	}
	held := m.holder == r && p.w.now < m.leaseUntil
	renews := held && r.leases[m.id] == m.epoch && p.w.now < r.until[m.id]
	if !renews {
		if m.holder != nil && !held && p.w.now < m.leaseUntil {
			return
		}
		m.epoch++
		m.holder = r
	}
	m.leaseUntil, m.tasksUntil = p.w.now+leaseTTL, p.w.now+taskTTL
	if !answered || m.mute[r] {
		return
	}
	r.leases[m.id], r.until[m.id] = m.epoch, m.leaseUntil
	if r.rec != nil {
		p.recover(r, WorkerReport{Worker: m.id, Epoch: m.epoch, Tasks: m.list()})
	}
	p.report(r, m, !renews)
}

// report proposes the end of what a worker reports as ended, and, under a new
// lease, of what this owner assigned before and the worker does not know.
func (p *plant) report(r *runner, m *machine, fresh bool) {
	epoch, owns := r.owner.Epoch()
	for _, a := range r.owner.State().Open() {
		if !owns || a.Worker != m.id || a.Epoch != epoch {
			continue
		}
		t := m.tasks[a.Attempt.String()]
		switch {
		case t != nil && t.Ended:
			p.ended(r, a.Attempt, resultOf(*t))
		case t == nil && fresh && a.Lease < m.epoch:
			p.ended(r, a.Attempt, ResultNeverStarted)
		}
	}
}

// schedule proposes an attempt for each job that can have one.
func (p *plant) schedule(r *runner, m *machine) {
	if _, owns := r.owner.Epoch(); !owns || p.w.now >= r.until[m.id] || r.leases[m.id] == 0 {
		return
	}
	for _, j := range r.owner.State().Jobs() {
		t := j.Tasks[0]
		if j.Ended || j.Cancelled || t.Open || t.Done() || t.Attempts > 4 || r.busy[j.Job] {
			continue
		}
		a := Assigned{Attempt: ident.AttemptID{Job: j.Job, Attempt: t.Attempts + 1}, Worker: m.id, Lease: r.leases[m.id]}
		r.busy[j.Job] = true
		r.asked[p.w.lastID+1] = a
		p.w.propose(r.host, Record{Assigned: &a}, 0)
	}
}

// arrive lets a start reach its worker, which may come later, or again.
func (p *plant) arrive(i int, keep bool) {
	s := p.starts[i]
	if !keep {
		p.starts = slices.Delete(p.starts, i, i+1)
	}
	id := s.attempt.String()
	if s.epoch != s.to.epoch || p.w.now >= s.to.leaseUntil || s.to.tasks[id] != nil {
		return
	}
	for _, m := range p.machines {
		for other, t := range m.tasks {
			if !t.Ended && other[:len(other)-1] == id[:len(id)-1] {
				p.t.Fatalf("%s starts on %s while %s runs on %s", id, s.to.id, other, m.id)
			}
		}
	}
	s.to.tasks[id] = &ports.TaskReport{ID: id}
	p.runs[s.attempt.Job]++
	if s.attempt.Job.Seq%2 == 0 && p.runs[s.attempt.Job] > 1 {
		p.t.Fatalf("non-idempotent job %v runs twice", s.attempt.Job)
	}
}

// A grant check runs in two places, or an approval runs twice, in some order of
// takeovers, pauses, lost leases, late and doubled starts, workers out of reach
// and lost answers of the log. Workers check only lease epochs and task TTLs;
// all else is the stream's, the owners' and the recoveries' doing.
func TestRunsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlant(t)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		each := func(do func(r *runner)) func(*rapid.T) {
			return func(*rapid.T) {
				if r := p.runners[pick(2)]; !r.paused {
					do(r)
				}
			}
		}
		round := func(*rapid.T) {
			p.pass(time.Duration(50+pick(250)) * time.Millisecond)
			for _, r := range p.runners {
				if r.paused {
					continue
				}
				p.step(r, Tick{})
				for range r.calls.Len() {
					fate := fakelog.Fine
					if pick(6) == 0 {
						fate = someFates[pick(len(someFates))]
					}
					p.step(r, r.calls.Answer(0, fate))
				}
			}
		}
		arrive := func(*rapid.T) {
			for len(p.starts) > 0 && pick(5) > 0 {
				p.arrive(pick(len(p.starts)), pick(5) == 0)
			}
		}
		lease := func(*rapid.T) {
			for _, r := range p.runners {
				for _, m := range p.machines {
					if !r.paused {
						p.lease(r, m, pick(5) > 0)
						p.schedule(r, m)
					}
				}
			}
		}
		work := func(*rapid.T) {
			lease(t)
			round(t)
			round(t)
			arrive(t)
		}
		accept := each(func(r *runner) {
			for range 3 {
				p.jobs++
				rec := acceptance(p.jobs, "", "")
				rec.Accepted.Spec.NonIdempotent = p.jobs%2 == 0
				p.w.propose(r.host, rec, 0)
			}
		})
		p.step(p.runners[0], WantOwnership{Want: true})
		for range 8 {
			work(t)
		}
		accept(t)
		t.Repeat(map[string]func(*rapid.T){
			"round": round, "round2": round, "work": work, "work2": work, "work3": work, "work4": work,
			"want":   each(func(r *runner) { p.step(r, WantOwnership{Want: pick(4) > 0}) }),
			"accept": accept, "arrive": arrive,
			"pause": func(*rapid.T) { r := p.runners[pick(2)]; r.paused = !r.paused },
			"wake":  func(*rapid.T) { p.runners[0].paused, p.runners[1].paused = false, false },
			"cut":   func(*rapid.T) { p.machines[pick(2)].cut[p.runners[pick(2)]] = true },
			"mend":  func(*rapid.T) { clear(p.machines[pick(2)].cut) },
			"takeover": func(*rapid.T) {
				from := pick(2)
				old, young := p.runners[from], p.runners[1-from]
				m := p.machines[pick(2)]
				m.cut[young], m.mute[young] = pick(2) == 0, true
				old.paused, old.deaf = pick(3) == 0, pick(2) == 0
				young.paused = false
				if !old.paused {
					p.step(old, WantOwnership{Want: false})
				}
				p.step(young, WantOwnership{Want: true})
				for range pick(60) {
					work(t)
				}
				old.deaf = false
				for range pick(30) {
					work(t)
				}
			},
			"flap": func(*rapid.T) {
				rival := p.runners[pick(2)]
				for _, want := range []bool{true, false} {
					p.step(rival, WantOwnership{Want: want})
					p.step(p.other(rival), WantOwnership{Want: true})
					for range 6 {
						lease(t)
						round(t)
					}
				}
			},
			"wait": func(*rapid.T) { p.pass(time.Duration(pick(5000)) * time.Millisecond) },
			"end": func(*rapid.T) {
				for _, m := range p.machines {
					for _, task := range m.tasks {
						task.Failed = !task.Ended || task.Failed
						task.Ended = true
					}
				}
			},
		})
	})
}
