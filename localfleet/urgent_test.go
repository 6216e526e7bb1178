package localfleet_test

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/standin"
)

// The batch work that fills the fleet, and the urgent work that displaces it.
const (
	fillTasks  = 48 // of each batch job; four cores each
	fillSpec   = `{"kind":"batch","name":"recount","need":{"milli_cpu":4000,"memory_mib":2048},"tasks":%d,"run":"20m","displaceable":true}`
	urgentSpec = `{"kind":"batch","name":"appeal","need":{"milli_cpu":8000,"memory_mib":4096},"tasks":1,"run":"300ms","urgent":true}`
	bursts     = 6
	burstSize  = 8 // urgent jobs of one burst, sent at once
)

// urgentJob is one urgent job with the times that its caller sees, on the
// platform's clock.
type urgentJob struct {
	id             string
	sent, accepted time.Duration
}

// urgentRun is one run of the measurement.
type urgentRun struct {
	b     *testing.B
	fleet *localfleet.Fleet
	hosts []*localfleet.Member
	jobs  []urgentJob
}

// BenchmarkUrgentStart reports how long urgent jobs take from the first byte of
// their submission to their start on a worker, in fleets of four zones and 48
// workers that are full of batch work, with the leases of each deployment. One
// of them displaces at least two tasks. Run it with -benchtime 1x.
func BenchmarkUrgentStart(b *testing.B) {
	deployments := []struct {
		layout       standin.Layout
		ttl, taskTTL time.Duration
	}{
		{standin.Rosenau(), 2 * time.Second, 8 * time.Second},
		{standin.Sabzkhata(), 5 * time.Second, 20 * time.Second},
	}
	for _, d := range deployments {
		b.Run(d.layout.Name, func(b *testing.B) {
			for b.Loop() {
				r := &urgentRun{b: b, fleet: startFull(b, d.layout, d.ttl, d.taskTTL)}
				r.hosts = r.fleet.Hosts()
				for range bursts {
					r.burst()
				}
				r.report()
				r.fleet.Close()
			}
		})
	}
}

// startFull starts a fleet and returns when batch work uses every core.
func startFull(b *testing.B, layout standin.Layout, ttl, taskTTL time.Duration) *localfleet.Fleet {
	b.Helper()
	f, err := localfleet.Start(context.Background(), localfleet.Options{
		Layout:    layout,
		TeamLimit: 1 << 20,
		Adjust:    func(s *settings.Settings) { s.Lease.TTL, s.Lease.TaskTTL = ttl, taskTTL },
	})
	if err != nil {
		b.Fatal(err)
	}
	teams := layout.Teams[1:4]
	for i, m := range f.Hosts() {
		for _, team := range teams[:1+i%len(teams)] {
			submit(b, f, m, team, fmt.Sprintf(fillSpec, fillTasks))
		}
	}
	for begin := time.Now(); !full(f); {
		if time.Since(begin) > testTimeout {
			b.Fatal("the fleet does not fill")
		}
		time.Sleep(retryPause)
	}
	return f
}

func full(f *localfleet.Fleet) bool {
	task := resource.Vector{MilliCPU: 4000, MemoryMiB: 2048}
	for _, w := range f.Platform.Workers {
		if task.Fits(w.State.Config().Size.Sub(w.State.Used())) {
			return false
		}
	}
	return true
}

// burst submits urgent jobs at once, each to another host, and returns when all
// have ended.
func (r *urgentRun) burst() {
	jobs := make([]urgentJob, burstSize)
	var wg conc.WaitGroup
	for i := range jobs {
		wg.Go(func() { jobs[i] = r.submit(r.hosts[i%len(r.hosts)]) })
	}
	wg.Wait()
	r.jobs = append(r.jobs, jobs...)
	for _, j := range jobs {
		await(r.b, r.fleet, r.hosts[0], r.team(), j.id)
	}
}

// team is the team of the urgent work.
func (r *urgentRun) team() ident.TeamID { return r.fleet.Platform.Layout.Teams[0] }

func (r *urgentRun) submit(m *localfleet.Member) urgentJob {
	j := urgentJob{sent: r.fleet.Platform.Now()}
	j.id = submit(r.b, r.fleet, m, r.team(), urgentSpec)
	j.accepted = r.fleet.Platform.Now()
	return j
}

// report finds the starts in what really ran.
func (r *urgentRun) report() {
	starts := map[string]standin.RunEvent{}
	displaced := map[ident.WorkerID][]time.Duration{}
	for _, ev := range r.fleet.Platform.Audit.History() {
		switch ev.End {
		case "":
			if _, again := starts[standin.JobTask(ev.ID)]; !again {
				starts[standin.JobTask(ev.ID)] = ev
			}
		case standin.EndCheckpointed:
			displaced[ev.Worker] = append(displaced[ev.Worker], ev.At)
		}
	}
	var accept, room, start []time.Duration
	for _, j := range r.jobs {
		ev, ran := starts[j.id+"/0"]
		if !ran {
			r.b.Fatalf("job %s has not run", j.id)
		}
		accept = append(accept, j.accepted-j.sent)
		start = append(start, ev.At-j.sent)
		if at := lastBefore(displaced[ev.Worker], ev.At); at > j.sent {
			room = append(room, at-j.sent)
		}
	}
	r.metric("accepted", accept)
	r.metric("room", room)
	r.metric("started", start)
}

// lastBefore returns the last of the times that is not after a given one.
func lastBefore(times []time.Duration, at time.Duration) time.Duration {
	last := time.Duration(0)
	for _, t := range times {
		if t <= at {
			last = max(last, t)
		}
	}
	return last
}

func (r *urgentRun) metric(name string, list []time.Duration) {
	if len(list) == 0 {
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	const half, most = 50, 99
	for _, hundredths := range []int{half, most} {
		at := (len(list)*hundredths + 99) / 100
		r.b.ReportMetric(float64(list[at-1].Milliseconds()), fmt.Sprintf("%s-p%d-ms", name, hundredths))
	}
}
