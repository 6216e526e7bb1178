package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// newBacklogScheduler returns a leading scheduler with a backlog of steps that all need
// advice, a fifth of them gangs. used is the milli-CPU in use on each worker.
func newBacklogScheduler(workers, steps int, used int64) (*Scheduler, time.Duration) {
	s := New(testOptions())
	now := time.Hour
	s.Handle(now, Tick{UnixMs: now.Milliseconds()})
	s.Handle(now, Lead{Fence: 1, ProvenAt: now})
	s.Handle(now, ConfigRead{Config: testConfig()})
	s.Handle(now, AdviceHostsChanged{Hosts: []string{"", "h2", "h3"}})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		s.Handle(now, WorkerListed{Entry: model.WorkerEntry{
			ID: id, Service: "svc", Address: id, Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 64 << 10}, BornUnix: 1,
		}})
		s.Handle(now, ProbeAnswered{Request: model.ProbeRequest{Worker: model.WorkerRef{ID: id, BornUnix: 1}}, SentAt: now, Response: model.ProbeResponse{ClockMs: 1, BornUnix: 1}})
	}
	for _, w := range s.workerList {
		w.used.MilliCPU = used
	}
	for i := range steps {
		j := oneStep(fmt.Sprintf("%016x", i), &record.Step{Count: 4, Gang: i%5 == 0})
		j.Queue, j.Workspace, j.AcceptedUnixMs = "q", "ws", now.Milliseconds()
		j.Policy = &record.Policy{Service: "svc", Priority: int32(i % 3), MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
			Advice: &record.Advice{DecideMs: 5, EachMs: 0.1, ValidMs: 2000}}
		s.Handle(now, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
		st := s.jobs[j.Id].occs[0].steps[0]
		for n, w := range s.workerList {
			st.advice.store(adviceMark{worker: w, eligible: (n+i)%3 == 0})
		}
	}
	return s, now
}

// BenchmarkPass measures one scheduling pass that starts nothing, at the present size
// of a region and at larger ones: with all workers full, and with free capacity on all
// workers but no valid ticket.
func BenchmarkPass(b *testing.B) {
	for name, used := range map[string]int64{"full": 31500, "unadvised": 8000} {
		for _, size := range []struct{ workers, steps int }{{48, 50}, {48, 1000}, {350, 1000}, {800, 2500}} {
			b.Run(fmt.Sprintf("%s/workers=%d/steps=%d", name, size.workers, size.steps), func(b *testing.B) {
				s, now := newBacklogScheduler(size.workers, size.steps, used)
				for b.Loop() {
					now += time.Microsecond
					s.lastProofAt, s.dirty, s.lastPass = now, true, 0
					for _, w := range s.workerList {
						w.probedAt = now
					}
					s.Handle(now, Schedule{})
				}
			})
		}
	}
}

// BenchmarkPassWithWaitingGangs measures a pass in which gangs that are due find no runs that give
// way to them, in a region full of tasks: at the size of today's regions and at ten times that.
func BenchmarkPassWithWaitingGangs(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := fullScheduler(workers)
			b.ResetTimer()
			for range b.N {
				s.now += basePassInterval
				s.dirty = true
				s.lastProofAt = s.now
				for _, w := range s.workerList {
					w.probedAt = s.now
				}
				s.schedule()
			}
		})
	}
}

// BenchmarkPlanAdvice measures the choice of the workers that calls for advice about one gang name,
// which happens as often as hosts have calls answered: some 20 times a second in a region of 350
// workers.
func BenchmarkPlanAdvice(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := fullScheduler(workers)
			for _, w := range s.workerList {
				w.probedAt = s.now
			}
			st := s.jobs["g0"].occs[0].steps[0]
			st.job.rec.Policy.Advice = &record.Advice{DecideMs: 440, EachMs: 6.4, ValidMs: 2000}
			b.ResetTimer()
			for range b.N {
				s.planAdvice(st)
			}
		})
	}
}

// BenchmarkWorkerReport measures an entry of the host list that a worker has written again without
// a change, which each one does every second or two: at the size of today's regions and at ten times
// that.
func BenchmarkWorkerReport(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := fullScheduler(workers)
			b.ResetTimer()
			for i := range b.N {
				s.Handle(s.now, WorkerListed{Entry: s.workerList[i%workers].entry})
			}
		})
	}
}

// fullScheduler returns a leader of workers that are full of tasks without checkpoints, and eight
// gangs that wait.
func fullScheduler(workers int) *Scheduler {
	s := New(testOptions())
	s.Handle(time.Hour, Tick{UnixMs: 1})
	s.Handle(time.Hour, Lead{Fence: 1, ProvenAt: time.Hour})
	s.Handle(time.Hour, ConfigRead{Config: testConfig()})
	policy := func(priority int32) *record.Policy {
		return &record.Policy{Service: "svc", Priority: priority, MaxAttempts: 3, Stretch: 100, TargetLatencyMs: 1000}
	}
	slow := oneStep("slow", &record.Step{Count: int32(10 * workers), EstimateMs: 60000})
	slow.Policy, slow.Workspace, slow.Queue = policy(2), "ws", "slow"
	s.Handle(time.Hour, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: slow}}}})
	tasks := s.jobs["slow"].occs[0].steps[0].tasks
	for i := range workers {
		e := model.WorkerEntry{ID: fmt.Sprintf("w%d", i), Service: "svc", Address: fmt.Sprintf("10.0.0.1:%d", i), Zone: "z",
			Capacity: model.Resources{MilliCPU: 10000, MemoryMiB: 64 << 10}, BornUnix: 1}
		s.Handle(time.Hour, WorkerListed{Entry: e})
		w := s.workers[e.ID]
		w.fenced, w.probedAt = true, time.Hour
		for _, t := range tasks[10*i : 10*i+10] {
			r := &run{task: t, number: 1, worker: w, ref: w.ref(), phase: phaseRunning, startedAt: time.Hour}
			s.occupy(r)
		}
	}
	for i := range 8 {
		gang := oneStep(fmt.Sprintf("g%d", i), &record.Step{Count: 16, Gang: true, EstimateMs: 6000, Request: &record.Resources{MilliCpu: 3000, MemoryMib: 100}})
		gang.Policy, gang.Workspace, gang.Queue, gang.AcceptedUnixMs = policy(1), "ws", "gangs", 1
		s.Handle(time.Hour, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: gang}}}})
	}
	s.now = time.Hour + 350*time.Second // past half of the gangs' slack
	return s
}

// BenchmarkReportWaits is what a tick spends on steps that wait: it looks at a bounded number of them.
func BenchmarkReportWaits(b *testing.B) {
	for _, steps := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			s := fullScheduler(1)
			for i := range steps {
				s.submit(oneStep(fmt.Sprintf("wait%d", i), &record.Step{Count: 4}))
			}
			for b.Loop() {
				s.now += 20 * time.Millisecond
				s.out = s.out[:0]
				s.reportWaits()
			}
		})
	}
}
