package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// sizedScheduler is a leader of idle workers, all of which answer probes at once.
type sizedScheduler struct {
	*Scheduler
	now     time.Duration
	entries []model.WorkerEntry
	jobs    int
	probes  int
}

func newSizedScheduler(workers int) *sizedScheduler {
	s := &sizedScheduler{Scheduler: New(testOptions()), now: time.Hour}
	s.handle(Tick{UnixMs: s.now.Milliseconds()})
	s.handle(Lead{Fence: 1, ProvenAt: s.now})
	s.handle(ConfigRead{Config: testConfig()})
	s.handle(AdviceHostsChanged{Hosts: []string{"", "h2", "h3"}})
	for i := range workers {
		e := model.WorkerEntry{
			ID: fmt.Sprintf("w%05d", i), Service: "svc", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: fmt.Sprintf("z%d", i%6),
			Labels: []string{fmt.Sprintf("r%d-1", i/8)}, Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 64 << 10}, BornUnix: 1,
		}
		s.entries = append(s.entries, e)
		s.handle(WorkerListed{Entry: e})
	}
	return s
}

// handle applies an event, commits what it appends and answers its probes and calls for advice.
func (s *sizedScheduler) handle(ev Event) {
	var answers []Event
	for _, c := range s.Handle(s.now, ev) {
		switch c := c.(type) {
		case Append:
			answers = append(answers, Committed{Seq: c.Seq, SentAt: s.now})
		case Probe:
			s.probes++
			if c.After == 0 {
				answers = append(answers, ProbeAnswered{Request: c.Request, SentAt: s.now, Response: model.ProbeResponse{ClockMs: s.now.Milliseconds(), BornUnix: 1}})
			}
		case Advise:
			a := AdviceAnswered{Request: c, At: s.now}
			for i, id := range c.Workers {
				if i%3 > 0 {
					a.Tickets = append(a.Tickets, model.Ticket{Worker: id, Ticket: "t"})
				}
			}
			answers = append(answers, a)
		}
	}
	for _, a := range answers {
		s.handle(a)
	}
}

// step hands in a step of four tasks, which is asked about, placed and withdrawn again.
func (s *sizedScheduler) step() {
	s.jobs++
	j := oneStep(fmt.Sprintf("%016x", s.jobs), &record.Step{Count: 4, Request: &record.Resources{MilliCpu: 7000, MemoryMib: 10000}})
	j.Queue, j.Workspace, j.AcceptedUnixMs = "q", "ws", s.now.Milliseconds()
	j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000, Advice: &record.Advice{DecideMs: 14, EachMs: 0.2, ValidMs: 2000}}
	s.handle(IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
	for range 2 {
		s.now += 5 * time.Millisecond
		s.lastProofAt = s.now
		for _, w := range s.active {
			w.probedAt = s.now
		}
		s.dirty = true
		s.handle(Schedule{})
	}
	s.handle(IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Cancelled{Cancelled: j.Id}}}})
	for _, t := range s.Scheduler.jobs[j.Id].occs[0].steps[0].tasks {
		if t.run == nil {
			panic("a task was not placed")
		}
		s.release(t.run)
	}
}

// BenchmarkRegionSize measures what a leader of idle workers does however little work there is, and
// for one small step, at several sizes of the region.
func BenchmarkRegionSize(b *testing.B) {
	for _, workers := range []int{350, 3000, 6000, 12000} {
		s := newSizedScheduler(workers)
		b.Run(fmt.Sprintf("entry/workers=%d", workers), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				s.handle(WorkerListed{Entry: s.entries[i%workers]})
			}
		})
		b.Run(fmt.Sprintf("tick/workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				s.now += 20 * time.Millisecond
				s.lastProofAt = s.now
				s.handle(Tick{UnixMs: s.now.Milliseconds()})
			}
		})
		b.Run(fmt.Sprintf("step/workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				s.step()
			}
		})
	}
}

// BenchmarkPassWithHeldSteps measures a pass over steps that cannot start: those of a workspace at
// its cap, and gangs with calls for advice in flight.
func BenchmarkPassWithHeldSteps(b *testing.B) {
	for _, workers := range []int{350, 2000, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := heldSteps(workers)
			for b.Loop() {
				now += time.Microsecond
				s.lastProofAt, s.dirty, s.lastPass = now, true, 0
				for _, w := range s.active {
					w.probedAt = now
				}
				s.Handle(now, Schedule{})
			}
		})
	}
}

// heldSteps returns a leader of active workers that are in use by a fifth, with 100 steps of a
// workspace at its cap and 20 gangs that have asked for advice.
func heldSteps(workers int) (*Scheduler, time.Duration) {
	opts := testOptions()
	opts.MinActive = workers
	s := New(opts)
	now := time.Hour
	config := testConfig()
	config.Workspaces["capped"] = model.Workspace{Name: "capped", Cap: model.Resources{MilliCPU: 1}}
	hosts := []string{""}
	for i := range 500 {
		hosts = append(hosts, fmt.Sprintf("h%03d", i))
	}
	for _, ev := range []Event{Tick{UnixMs: now.Milliseconds()}, Lead{Fence: 1, ProvenAt: now}, ConfigRead{Config: config}, AdviceHostsChanged{Hosts: hosts}} {
		s.Handle(now, ev)
	}
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		s.Handle(now, WorkerListed{Entry: model.WorkerEntry{
			ID: id, Service: "svc", Address: id, Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 64 << 10}, BornUnix: 1,
		}})
		s.Handle(now, ProbeAnswered{Request: model.ProbeRequest{Worker: model.WorkerRef{ID: id, BornUnix: 1}}, SentAt: now, Response: model.ProbeResponse{ClockMs: 1, BornUnix: 1}})
	}
	for i, w := range s.workerList {
		w.used.MilliCPU = int64(i%4) * 8000
	}
	for i := range 120 {
		gang := i%6 == 0
		j := oneStep(fmt.Sprintf("%016x", i), &record.Step{Count: 40, Gang: gang, Request: &record.Resources{MilliCpu: 5000, MemoryMib: 7000}})
		j.Queue, j.Workspace, j.AcceptedUnixMs = "q", "capped", now.Milliseconds()
		if gang {
			j.Workspace = "ws"
		}
		j.Policy = &record.Policy{Service: "svc", Priority: int32(i % 3), MaxAttempts: 3, Stretch: 100, TargetLatencyMs: 1000,
			Advice: &record.Advice{DecideMs: 140, EachMs: 2, ValidMs: 2000}}
		s.Handle(now, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
	}
	for range 3 {
		now += 10 * time.Millisecond
		s.lastProofAt = now
		s.Handle(now, Schedule{})
	}
	return s, now
}
