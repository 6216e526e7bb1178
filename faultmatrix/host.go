package faultmatrix

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Pauses of a host.
const (
	hostTick  = 50 * time.Millisecond
	listEvery = time.Second
)

// host is one life of an entry host: an engine and its edges.
type host struct {
	w      *World
	id     ident.HostID
	holder ident.Holder
	zone   ident.Zone
	eng    *engine.Engine

	alive  bool
	paused bool
	inbox  []func() // what happened to it while it was paused
	booted time.Duration
	died   time.Duration

	rate  float64       // of its clock
	base  time.Duration // its clock at since
	since time.Duration

	state    *fleet.State // configuration in force at the edge
	seq      uint64       // of minted identifiers
	calls    map[ident.TaskID]*call
	answers  map[uint64]func(any) // peers' and callers' questions under way
	question uint64
}

func newHost(w *World, holder ident.Holder, zone ident.Zone) *host {
	h := &host{
		w: w, id: holder.Host, holder: holder, zone: zone, alive: true, booted: w.Now(), rate: 1, since: w.Now(),
		calls: map[ident.TaskID]*call{}, answers: map[uint64]func(any){},
	}
	h.eng = engine.New(engine.Options{
		Self: holder, Zone: zone, Zones: zones, Addr: string(holder.Host), Seed: uint64(holder.Incarnation),
		Lease:   lease.Options{TTL: leaseTTL, TaskTTL: taskTTL, Drift: driftMax},
		ListLag: 2 * listLag,
	})
	return h
}

func (h *host) entry(state ports.State) ports.HostEntry {
	return ports.HostEntry{Host: h.id, Zone: h.zone, Addr: string(h.id), State: state}
}

// now is the host's own clock.
func (h *host) now() time.Duration {
	return h.base + time.Duration(float64(h.w.Now()-h.since)*h.rate)
}

// setRate changes the speed of the host's clock.
func (h *host) setRate(rate float64) {
	h.base = h.now()
	h.since = h.w.Now()
	h.rate = rate
}

// start begins the host's duties, each at its own moment.
func (h *host) start() {
	h.w.After(time.Duration(h.w.rng.Int64N(int64(hostTick))), h.tick)
	h.w.After(time.Duration(h.w.rng.Int64N(int64(hostTick))), h.pollList)
}

func (h *host) tick() {
	if !h.alive {
		return
	}
	if !h.paused {
		h.step(engine.Tick{Wall: h.w.wall()})
	}
	h.w.After(hostTick, h.tick)
}

// wake runs do on the host: at once, after its pause, or never if it is dead.
func (h *host) wake(do func()) {
	switch {
	case !h.alive:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do()
	}
}

// step gives the engine an event and carries out what it commands. A host that
// is paused in the middle carries out the rest when it wakes.
func (h *host) step(ev engine.Event) {
	for _, cmd := range slices.Clone(h.eng.Step(h.now(), ev)) {
		h.wake(func() {
			h.w.reached(stepOf(cmd), h, workerOf(cmd))
			h.wake(func() { h.carry(cmd) })
		})
	}
}

// die ends the life. Its callers see their connections cut.
func (h *host) die() {
	h.alive = false
	h.died = h.w.Now()
	h.inbox = nil
	for _, id := range sortedIDs(h.calls) {
		h.calls[id].cut()
	}
}

// pause stops the host until resume; messages pile up meanwhile.
func (h *host) pause() { h.paused = true }

func (h *host) resume() {
	h.paused = false
	for len(h.inbox) > 0 && h.alive && !h.paused {
		next := h.inbox[0]
		h.inbox = h.inbox[1:]
		next()
	}
}

// pollList reads the host list again and again.
func (h *host) pollList() {
	if !h.alive {
		return
	}
	h.w.send(exchange{
		from: h, to: placePlatform, timeout: 2 * time.Second,
		serve: func(answer func(reply)) {
			listing, err := h.w.list.List(h.w.Now())
			answer(reply{value: listing, err: err})
		},
		done: func(r reply) {
			if r.err != nil {
				h.step(engine.ListFailed{})
			} else {
				h.step(engine.Listed{Listing: r.value.(ports.Listing)})
			}
		},
	})
	h.w.After(listEvery, h.pollList)
}

// mint draws an identifier for work that this life takes.
func (h *host) mint() ident.TaskID {
	h.seq++
	return ident.TaskID{Zone: h.zone, Host: h.id, Incarnation: h.holder.Incarnation, Seq: h.seq}
}

// ask puts a question to the engine whose answer comes as a command.
func (h *host) ask(answer func(any)) uint64 {
	h.question++
	h.answers[h.question] = answer
	return h.question
}

func (h *host) answered(question uint64, value any) {
	if answer, ok := h.answers[question]; ok {
		delete(h.answers, question)
		answer(value)
	}
}

// gone ends the life after a planned stop or a reincarnation.
func (h *host) gone() {
	h.die()
	h.w.list.Change(h.w.Now(), standin.HostChange{GoneHosts: []ident.HostID{h.id}})
}

// listLag is how far the host list is behind.
const listLag = time.Second
