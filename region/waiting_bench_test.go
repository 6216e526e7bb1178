package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// BenchmarkPassWithWaitingWork measures a pass in a region where work of all kinds has been advised
// about and waits for room: gangs, urgent and deferrable steps, on workers that are full but for a few on
// which it is not eligible.
func BenchmarkPassWithWaitingWork(b *testing.B) {
	for _, workers := range []int{350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := waitingWork(workers)
			b.ResetTimer()
			for range b.N {
				s.passAgain()
			}
		})
	}
}

// passAgain runs a pass in which all workers count as answered.
func (s *Scheduler) passAgain() {
	s.now += time.Microsecond
	s.lastProofAt, s.dirty, s.lastPass = s.now, true, 0
	for _, w := range s.workerList {
		w.probedAt = s.now
	}
	s.Handle(s.now, Schedule{})
}

// waitingWork returns a leader with 40 gangs, 40 urgent and 40 deferrable steps that know which workers
// are eligible, wait for room, and could ask again. One worker in twenty has room.
func waitingWork(workers int) *Scheduler {
	s := New(testOptions())
	now := time.Hour
	hosts := []string{""}
	for i := range 40 {
		hosts = append(hosts, fmt.Sprintf("h%02d", i))
	}
	for _, ev := range []Event{Tick{UnixMs: now.Milliseconds()}, Lead{Fence: 1, ProvenAt: now}, ConfigRead{Config: testConfig()}, AdviceHostsChanged{Hosts: hosts}} {
		s.Handle(now, ev)
	}
	submit := func(id string, priority int32, rec *record.Step, advice *record.Advice) *step {
		j := oneStep(id, rec)
		j.Queue, j.Workspace, j.AcceptedUnixMs = fmt.Sprintf("q%d", priority), "ws", now.Milliseconds()
		j.Policy = &record.Policy{Service: "svc", Priority: priority, MaxAttempts: 3, Stretch: 100, TargetLatencyMs: 1000, Advice: advice}
		s.Handle(now, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
		return s.jobs[id].occs[0].steps[0]
	}
	running := submit("running", 2, &record.Step{Count: int32(6 * workers), EstimateMs: 60000, Request: &record.Resources{MilliCpu: 10000, MemoryMib: 1000}}, nil)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		s.Handle(now, WorkerListed{Entry: model.WorkerEntry{
			ID: id, Service: "svc", Address: id, Capacity: model.Resources{MilliCPU: 64000, MemoryMiB: 256 << 10}, BornUnix: 1,
		}})
		s.Handle(now, ProbeAnswered{Request: model.ProbeRequest{Worker: model.WorkerRef{ID: id, BornUnix: 1}}, SentAt: now, Response: model.ProbeResponse{ClockMs: 1, BornUnix: 1}})
		w := s.workers[id]
		last := 6*i + 6
		if i%20 == 0 {
			last -= 3 // room, where the steps below are not eligible
		}
		for _, t := range running.tasks[6*i : last] {
			s.occupy(&run{task: t, number: 1, worker: w, ref: w.ref(), phase: phaseRunning, startedAt: now, endsAt: now + time.Minute})
		}
	}
	for i := range 40 {
		for _, st := range []*step{
			submit(fmt.Sprintf("gang%02d", i), 1, &record.Step{Count: 20, Gang: true, EstimateMs: 5000, Request: &record.Resources{MilliCpu: 18000, MemoryMib: 67000}},
				&record.Advice{DecideMs: 540, EachMs: 7.7, ValidMs: 2000}),
			submit(fmt.Sprintf("urgent%02d", i), 0, &record.Step{Count: 3, EstimateMs: 700, Request: &record.Resources{MilliCpu: 9900, MemoryMib: 20000}},
				&record.Advice{DecideMs: 9, EachMs: 0.13, ValidMs: 2000}),
			submit(fmt.Sprintf("deferrable%02d", i), 2, &record.Step{Count: 25, EstimateMs: 2300, Request: &record.Resources{MilliCpu: 6900, MemoryMib: 14000}},
				&record.Advice{DecideMs: 100, EachMs: 1.4, ValidMs: 2000}),
		} {
			for n, w := range s.workerList {
				st.advice.store(adviceMark{worker: w, eligible: (n+i)%3 == 0 && n%20 > 0})
			}
		}
	}
	s.now = now
	return s
}
