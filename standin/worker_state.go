package standin

import (
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Defaults of a WorkerConfig.
const (
	DefaultRemembered = 1 << 16 // task identifiers remembered by one worker
	DefaultUsageLag   = 2 * time.Second
	DefaultMaxEnded   = 1 << 14 // ended tasks kept until they are acknowledged
)

// throttleRate is how fast a throttled task proceeds, as a share of full speed.
const throttleRate = 0.25

// bootShift places the count of boots above the count of grants in an epoch,
// so that a worker that forgot everything still never repeats an epoch.
const bootShift = 32

// WorkerConfig describes one worker.
type WorkerConfig struct {
	Worker       ident.WorkerID
	Zone         ident.Zone
	Rack         string
	Size         resource.Vector
	Services     []ident.ServiceID // upstreams that answer here
	UsageLag     time.Duration     // age of reported usage; zero for DefaultUsageLag
	UsagePercent int64             // real use as a share of the declared need; zero for 100
	Remembered   int               // zero for DefaultRemembered
}

// withDefaults fills the zero fields.
func (c WorkerConfig) withDefaults() WorkerConfig {
	if c.UsageLag == 0 {
		c.UsageLag = DefaultUsageLag
	}
	if c.UsagePercent == 0 {
		c.UsagePercent = 100
	}
	if c.Remembered == 0 {
		c.Remembered = DefaultRemembered
	}
	return c
}

// Entry returns the worker as the host list shows it.
func (c WorkerConfig) Entry(addr string) ports.WorkerEntry {
	return ports.WorkerEntry{
		Worker: c.Worker, Zone: c.Zone, Rack: c.Rack, Addr: addr,
		Size: c.Size, Service: c.Services, State: ports.StateLive,
	}
}

// classLease is the control lease of one class. Times are on the worker's own
// clock.
type classLease struct {
	holder   ident.Holder
	epoch    ports.Epoch
	expires  time.Duration // the holder may start tasks before this
	outlives time.Duration // tasks of the class are stopped at this
	free     bool          // released, or never granted
}

// WorkerState is the state machine of one worker. It does no I/O and reads no
// clock: every call carries the time. Its methods may be called from any
// goroutine.
type WorkerState struct {
	mu     sync.Mutex
	cfg    WorkerConfig
	audit  *Audit
	faults WorkerFaults
	clock  driftClock

	boots  uint64
	leases map[ports.LeaseClass]*classLease
	tasks  map[string]*task // running, by key
	ended  []endedTask
	seen   *memory
	used   resource.Vector
	serial uint64 // tells runs of one identifier apart
}

// NewWorkerState returns a worker that runs nothing. All workers of a fleet
// share one audit.
func NewWorkerState(cfg WorkerConfig, audit *Audit) *WorkerState {
	cfg = cfg.withDefaults()
	audit.addWorker(cfg.Worker, cfg.Size)
	w := &WorkerState{cfg: cfg, audit: audit, clock: newDriftClock()}
	w.boot()
	return w
}

// boot forgets everything but the count of boots.
func (w *WorkerState) boot() {
	w.boots++
	first := ports.Epoch(w.boots << bootShift)
	w.leases = map[ports.LeaseClass]*classLease{
		ports.ClassSlots:   {epoch: first, free: true},
		ports.ClassCompute: {epoch: first, free: true},
	}
	w.tasks = make(map[string]*task)
	w.ended = nil
	w.seen = newMemory(w.cfg.Remembered)
	w.used = resource.Vector{}
}

// Config returns the worker's description.
func (w *WorkerState) Config() WorkerConfig { return w.cfg }

// Lease grants, renews or refuses the control lease of a class. It returns a
// *ports.RefusedError or a *NoAnswerError.
func (w *WorkerState) Lease(now time.Duration, req ports.LeaseRequest) (ports.LeaseGrant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	const op = "lease"
	if err := w.awake(op); err != nil {
		return ports.LeaseGrant{}, err
	}
	local := w.advance(now)
	lease, ok := w.leases[req.Class]
	if !ok || req.Holder.IsZero() || req.TTL <= 0 || req.TaskTTL < req.TTL {
		return ports.LeaseGrant{}, refused(op, ports.RefusedMalformed)
	}
	if err := lease.admit(op, local, req); err != nil {
		return ports.LeaseGrant{}, err
	}
	if req.Epoch == 0 {
		lease.epoch++
	}
	lease.holder = req.Holder
	lease.free = false
	lease.expires = local + req.TTL
	lease.outlives = local + req.TaskTTL
	w.forgetEnded(req.Class, req.AckedEnds)
	return ports.LeaseGrant{Epoch: lease.epoch, Boot: w.boots, Size: w.cfg.Size, Tasks: w.reports(local, req.Class)}, nil
}

// admit decides whether a request may take or renew the lease.
func (l *classLease) admit(op string, local time.Duration, req ports.LeaseRequest) error {
	alive := !l.free && local < l.expires
	if req.Epoch == 0 {
		if alive && l.holder != req.Holder {
			return &ports.RefusedError{Op: op, Refusal: ports.RefusedHeld, Left: l.expires - local}
		}
		return nil
	}
	return l.check(op, local, req.Epoch, req.Holder)
}

// check refuses a call that does not come from the current holder.
//
// A holder that was paused past its lease may wake and send calls of its old
// epoch after a successor took the lease. The epoch grows with every grant, so
// such a call never equals the current epoch and takes no effect.
func (l *classLease) check(op string, local time.Duration, epoch ports.Epoch, holder ident.Holder) error {
	if epoch != l.epoch || holder != l.holder {
		return refused(op, ports.RefusedEpoch)
	}
	if l.free || local >= l.expires {
		return refused(op, ports.RefusedLapsed)
	}
	return nil
}

// Release gives up the control lease of a class; tasks go on until their TTL.
// Releasing the current epoch twice does nothing.
func (w *WorkerState) Release(now time.Duration, class ports.LeaseClass, epoch ports.Epoch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	const op = "release"
	if err := w.awake(op); err != nil {
		return err
	}
	w.advance(now)
	lease, ok := w.leases[class]
	if !ok {
		return refused(op, ports.RefusedMalformed)
	}
	if epoch != lease.epoch {
		return refused(op, ports.RefusedEpoch)
	}
	lease.free = true
	return nil
}

// LeaseOf returns the holder and epoch of the current lease of a class, and
// whether it is alive. It is for tests and reports.
func (w *WorkerState) LeaseOf(now time.Duration, class ports.LeaseClass) (ident.Holder, ports.Epoch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lease, ok := w.leases[class]
	if !ok {
		return ident.Holder{}, 0, false
	}
	return lease.holder, lease.epoch, !lease.free && w.clock.local(now) < lease.expires
}

// refused builds a refusal.
func refused(op string, why ports.Refusal) error {
	return &ports.RefusedError{Op: op, Refusal: why}
}
