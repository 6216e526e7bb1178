package host

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/record"
)

// oddIntakeRecords are records of the intake that no host writes.
func oddIntakeRecords() map[string][]byte {
	all := map[string][]byte{"empty": {}, "no record": []byte("\xff\xff\xff")}
	add := func(name string, edit func(j *record.Job)) {
		j := &record.Job{
			Id: "00000000000000a0", Queue: "q", Workspace: "ws", Spec: "x", Policy: &record.Policy{Service: "svc", MaxAttempts: 3},
			Steps: []*record.Step{{Count: 1, Request: &record.Resources{MilliCpu: 1}}},
		}
		edit(j)
		data, err := proto.Marshal(&record.Intake{Kind: &record.Intake_Submitted{Submitted: j}})
		if err != nil {
			panic(err) // all strings are text
		}
		all[name] = data
	}
	add("no id", func(j *record.Job) { j.Id = "" })
	add("an id with dots", func(j *record.Job) { j.Id = "a.b.c.d.e" })
	add("fewer than no tasks", func(j *record.Job) { j.Steps[0].Count = -1 })
	add("two billion tasks", func(j *record.Job) { j.Steps[0].Count = 1<<31 - 1 })
	add("two billion occurrences", func(j *record.Job) { j.RepeatCount = 1<<31 - 1 })
	add("a step that follows none", func(j *record.Job) { j.Steps[0].DependsOn = []int32{7} })
	add("a step that follows step -1", func(j *record.Job) { j.Steps[0].DependsOn = []int32{-1} })
	add("a step that follows itself", func(j *record.Job) { j.Steps[0].DependsOn = []int32{0} })
	return all
}

// Guards against leaders that end one after the other, as another program has written to the topic of
// the intake: each leader reads its records anew, for as long as the log keeps them.
func TestOddRecordsInIntake(t *testing.T) {
	r := &oddRegion{testRegion: newTestRegion(t, 2, 1, 20*time.Millisecond)}
	for name, data := range oddIntakeRecords() {
		r.store.Append(leader.TopicIntake, data)
		r.runJob("beside " + name)
	}
	first := r.leader()
	first.stop()
	<-first.done
	r.waitUntil("the other host leads", func() bool { m := r.leader(); return m != nil && m != first })
	r.runJob("after a change of leader")
	if n := len(r.starts()); n != 2*r.jobs {
		t.Errorf("%d tasks were started, want %d", n, 2*r.jobs)
	}
}
