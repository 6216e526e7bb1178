package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
)

// grantOf is a worker's answer with n running tasks, and the request that it
// answers.
func grantOf(n int) (ports.LeaseRequest, ports.LeaseGrant) {
	holder := ident.Holder{Host: hostName(zoneName(0), 1), Incarnation: 1 << 62}
	req := ports.LeaseRequest{Class: ports.ClassCompute, Holder: holder, Epoch: 17, TTL: 3 * time.Second, TaskTTL: 12 * time.Second}
	grant := ports.LeaseGrant{Epoch: 17, Size: workerSize}
	for i := range n {
		id := ident.AttemptID{Job: ident.JobID{Zone: zoneName(0), Host: holder.Host, Incarnation: holder.Incarnation, Seq: uint64(1000 + i)}, Index: i, Attempt: 1}
		grant.Tasks = append(grant.Tasks, ports.TaskReport{
			ID: id.String(), Team: teamName(i), Need: taskNeed, Holder: holder, Ran: 37 * time.Second, Usage: taskNeed,
		})
	}
	return req, grant
}

// BenchmarkLeaseWire is one renewal on the wire, without HTTP: what is sent,
// and the time to render the request and to read the answer.
func BenchmarkLeaseWire(b *testing.B) {
	for _, tasks := range []int{0, 1, 10, 50} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			req, grant := grantOf(tasks)
			answer, err := json.Marshal(grant)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				jsonBytes(req)
				var got ports.LeaseGrant
				if err := json.Unmarshal(answer, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(jsonBytes(req)), "request-B")
			b.ReportMetric(float64(len(answer)), "grant-B")
		})
	}
}

// BenchmarkHostList is one answer of the host list: its size, and the time to
// read it.
func BenchmarkHostList(b *testing.B) {
	for _, s := range []size{today, {zones: 1, hosts: 4, workers: 800}, letter} {
		b.Run(fmt.Sprintf("hosts=%d/workers=%d", s.zones*s.hosts, s.zones*s.workers), func(b *testing.B) {
			z := &zone{size: s, workers: map[ident.WorkerID]*stubWorker{}, peers: map[ident.HostID]*member.Digest{}}
			z.layOut()
			data, err := json.Marshal(z.listing)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var got ports.Listing
				if err := json.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "list-B")
		})
	}
}

// A worker that runs more tasks has more to tell. If its answer did not grow
// with them, the slopes of the page would be measured on empty answers.
func TestGrantGrowsWithTasks(t *testing.T) {
	_, none := grantOf(0)
	_, ten := grantOf(10)
	_, twenty := grantOf(20)
	first, second := jsonBytes(ten)-jsonBytes(none), jsonBytes(twenty)-jsonBytes(ten)
	if first <= 0 || second <= 0 || second > 2*first {
		t.Errorf("ten tasks more are %d bytes, then %d: want about the same", first, second)
	}
}
