package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Config sets the pace and the bounds of an owner.
type Config struct {
	Zone ident.Zone
	Self ident.Holder

	AppendInterval  time.Duration // least time between two appends
	RefreshInterval time.Duration // the same, for appends that only write jobs again
	RetryInterval   time.Duration // before a read or append after a failure
	FenceInterval   time.Duration // before another fence after ownership was lost
	ReadWait        time.Duration // how long a read may wait for news
	RefreshAfter    time.Duration // age, in the stream's time, at which a job is written again
	RefreshRecords  int           // records behind a job, besides a few for each job, with the same effect
	MarkEvery       time.Duration // least time between two marks
	GroupRecords    int           // most records of one append
	GroupBytes      int           // most bytes of one append
	MaxQueued       int           // most proposals that are not settled
	PageLimit       int           // records of one read
	ProbeRecords    int           // records first read back from the end to find a mark
}

// DefaultConfig returns the pace used in production.
func DefaultConfig(zone ident.Zone, self ident.Holder) Config {
	return Config{
		Zone:            zone,
		Self:            self,
		AppendInterval:  50 * time.Millisecond,
		RefreshInterval: time.Second,
		RetryInterval:   250 * time.Millisecond,
		FenceInterval:   2 * time.Second,
		ReadWait:        time.Second,
		RefreshAfter:    30 * time.Minute,
		RefreshRecords:  4096,
		MarkEvery:       10 * time.Second,
		GroupRecords:    512,
		GroupBytes:      256 << 10,
		MaxQueued:       8192,
		PageLimit:       1024,
		ProbeRecords:    2048,
	}
}

// phase is what an owner is about.
type phase uint8

const (
	phaseIdle    phase = iota
	phaseLoading       // finds where to start reading
	phaseReading       // reads to the end of the stream
	phaseFencing       // waits for its own fence to be read back
	phaseOwning
	phaseLeaving // owns, takes nothing new, settles what is open
)

// Owner writes the job stream of a zone, when it owns it. It is not safe for
// concurrent use.
type Owner struct {
	cfg      Config
	fold     *Fold
	reader   stream.Reader
	appender stream.Appender

	phase  phase
	want   bool
	load   loader
	whole  bool          // no job is known to be missing
	fenced time.Duration // no fence is sent before this

	epoch   Epoch
	epochAt time.Duration // when the fence was read back
	num     uint64        // highest number given to a record
	groups  []*group      // sent and not settled, oldest first
	tray    tray          // the proposals
	markAt  time.Duration // when the newest mark was sent
	marked  ports.Offset

	now time.Duration
	out []Command
}

// NewOwner returns an owner that has read nothing and wants nothing.
func NewOwner(cfg Config) *Owner {
	name := StreamOf(cfg.Zone)
	return &Owner{
		cfg:      cfg,
		fold:     NewFold(),
		reader:   stream.Reader{Stream: name, Retry: cfg.RetryInterval, Limit: cfg.PageLimit},
		appender: stream.Appender{Stream: name, Retry: cfg.RetryInterval},
		tray:     newTray(),
	}
}

// State returns what has been read back of the stream. It must not be changed
// and is valid until the next Step.
func (o *Owner) State() *Fold { return o.fold }

// Epoch returns the epoch in which this host owns the stream, as far as it has
// read, and whether it does.
func (o *Owner) Epoch() (Epoch, bool) { return o.epoch, o.owns() }

func (o *Owner) owns() bool { return o.phase == phaseOwning || o.phase == phaseLeaving }

func (o *Owner) emit(c Command) { o.out = append(o.out, c) }

// Step handles one event at the given time of the process's own clock.
func (o *Owner) Step(now time.Duration, ev Event) []Command {
	o.now = now
	o.out = nil
	switch ev := ev.(type) {
	case WantOwnership:
		o.wish(ev.Want)
	case PageRead:
		o.page(ev)
	case ReadFailed:
		o.reader.Failed(now, ev)
	case AppendDone:
		o.appended(ev)
	case AppendFailed:
		o.appendFailed(ev)
	case Propose:
		o.propose(ev)
	case Withdraw:
		o.withdraw(ev)
	}
	o.expire()
	o.advance()
	return o.out
}

// wish takes the host list's hint.
func (o *Owner) wish(want bool) {
	o.want = want
	switch {
	case want && o.phase == phaseIdle:
		o.startLoading()
	case want && o.phase == phaseLeaving:
		o.phase = phaseOwning
	case !want && o.phase == phaseOwning:
		o.phase = phaseLeaving
		o.refuseQueued(VoidNotOwner)
	case !want && o.phase != phaseLeaving:
		o.phase = phaseIdle
	}
}

func (o *Owner) startLoading() {
	o.phase = phaseLoading
	o.load = loader{probe: stream.Probe{Records: o.cfg.ProbeRecords}}
	o.reader.Seek(0)
}

// advance sends the reads and appends that are due.
func (o *Owner) advance() {
	if o.phase == phaseLeaving && len(o.groups) == 0 && o.tray.empty() {
		o.release()
	}
	if o.phase == phaseIdle {
		return
	}
	if cmd, ok := o.reader.Next(o.now, o.readWait()); ok {
		o.emit(cmd)
	}
	switch {
	case o.phase == phaseFencing:
		o.sendFence()
	case o.owns():
		o.sendGroup()
	}
}

func (o *Owner) readWait() time.Duration {
	if o.phase == phaseLoading || o.phase == phaseReading {
		return 0
	}
	return o.cfg.ReadWait
}

// sendFence asks the log for ownership, as often as it takes for a fence to be
// read back. Two fences of this host do no harm: the later one is in force.
func (o *Owner) sendFence() {
	if o.now < o.fenced || !o.appender.Ready(o.now, o.cfg.FenceInterval) {
		return
	}
	data, err := Encode(Record{Fence: &Fence{Owner: o.cfg.Self}})
	if err != nil {
		return
	}
	o.emit(o.appender.Send(o.now, [][]byte{data}))
}

// release gives ownership up after everything was settled.
func (o *Owner) release() {
	o.phase = phaseIdle
	o.emit(LostOwnership{Epoch: o.epoch})
}
