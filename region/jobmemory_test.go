package region

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/record"
)

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// checkJobMemory fails the test if the memory of all jobs is not the sum of what each one has.
func (w *world) checkJobMemory() {
	if w.sched == nil {
		return
	}
	var sum int64
	for id, j := range w.sched.jobs {
		occurrences := int64(len(j.occs))
		if !j.ended() {
			occurrences += int64(max(j.rec.RepeatCount, 1) - j.nextOcc)
		}
		want := j.memory.record + j.memory.occurrence*occurrences
		if j.memory.counted < want || j.memory.counted > want && !j.ended() {
			w.fatal("%d bytes are counted for job %s, which takes up %d", j.memory.counted, id, want)
		}
		sum += j.memory.counted
	}
	if got := w.sched.JobMemory(); got != sum {
		w.fatal("%d bytes are counted for all jobs, %d for each one together", got, sum)
	}
}

func stepsLike(n int, st *record.Step) []*record.Step {
	steps := make([]*record.Step, n)
	for i := range steps {
		steps[i] = proto.CloneOf(st)
		steps[i].Request = &record.Resources{MilliCpu: 100, MemoryMib: 100}
	}
	return steps
}

// Guards against jobs that take up more memory than is counted for them.
func TestJobMemoryIsABound(t *testing.T) {
	one := &record.Step{Count: 1}
	last := &record.Step{Count: 1, DependsOn: make([]int32, 2000)}
	for name, c := range map[string]struct {
		jobs int
		job  *record.Job
	}{
		"one task":     {3000, &record.Job{Steps: stepsLike(1, one)}},
		"long texts":   {500, &record.Job{Spec: strings.Repeat("s", 4000), Steps: stepsLike(1, &record.Step{Count: 1, Image: strings.Repeat("i", 3000)})}},
		"many tasks":   {20, &record.Job{Steps: stepsLike(1, &record.Step{Count: 10_000})}},
		"many steps":   {10, &record.Job{Steps: stepsLike(2000, one)}},
		"dependencies": {100, &record.Job{Steps: append(stepsLike(1, one), stepsLike(1, last)...)}},
		"periodic":     {100, &record.Job{Steps: stepsLike(2, one), RepeatCount: 50, FirstRunUnixMs: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(testOptions())
			s.Handle(0, Tick{UnixMs: time.Hour.Milliseconds()})
			before := liveBytes()
			var counted int64
			for i := range c.jobs {
				j := proto.CloneOf(c.job)
				j.Id = fmt.Sprintf("%016x", i)
				counted += JobMemory(j)
				s.Handle(0, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
			}
			s.addDueOccurrences()
			if got := liveBytes() - before; got > counted {
				t.Errorf("%d bytes are live, %d are counted", got, counted)
			}
			if got := s.JobMemory(); got != counted {
				t.Errorf("the scheduler counts %d bytes, want %d", got, counted)
			}
		})
	}
}
