package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// jobRecords are the records of one job of one task, in order.
func jobRecords(seq uint64) []jobs.Record {
	host := hostName(zoneName(0), 1)
	job := ident.JobID{Zone: zoneName(0), Host: host, Incarnation: 1 << 62, Seq: seq}
	attempt := ident.AttemptID{Job: job, Attempt: 1}
	spec := work.Spec{Kind: work.KindBatch, Team: teamName(1), Name: "nightly-statements", Need: taskNeed, Tasks: 1, Run: time.Minute, MaxAttempts: 3}
	return []jobs.Record{
		{Accepted: &jobs.Accepted{Job: job, Key: jobs.KeyHash(fmt.Sprintf("b3BlcmF0aW9uL%09d", seq)), Fingerprint: "b3BlcmF0aW9uLWtleS0wMQ", Spec: spec, AcceptedAt: wallStart.UnixMilli()}},
		{Assigned: &jobs.Assigned{Attempt: attempt, Worker: "region-00-zone-0-worker-017", Lease: 17}},
		{Ended: &jobs.Ended{Attempt: attempt, Result: jobs.ResultSucceeded}},
		{JobEnded: &jobs.JobEnded{Job: job, Outcome: work.OutcomeRan, Keep: (24 * time.Hour).Milliseconds()}},
	}
}

// BenchmarkJobRecords folds the four records of a job of one task.
func BenchmarkJobRecords(b *testing.B) {
	fold := jobs.NewFold()
	fence, err := jobs.Encode(jobs.Record{Fence: &jobs.Fence{Owner: ident.Holder{Host: "h", Incarnation: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	fold.Apply(1, fence)
	at, num, size := ports.Offset(1), uint64(0), 0
	for b.Loop() {
		size = 0
		for _, body := range jobRecords(num + 1) {
			num++
			at++
			body.Epoch = 1
			body.Num = num
			data, err := jobs.Encode(body)
			if err != nil {
				b.Fatal(err)
			}
			size += len(data)
			if v := fold.Apply(at, data); !v.Applied {
				b.Fatal(v.Reason)
			}
		}
	}
	b.ReportMetric(float64(size), "B/job")
}

// ledgerOf folds a ledger in which every host holds units of every team.
func ledgerOf(tb testing.TB, hosts, teams int) (*ledger.Fold, []ident.Holder, *ledgerWriter) {
	tb.Helper()
	w := &ledgerWriter{tb: tb, fold: ledger.NewFold(), nums: map[ident.Holder]uint64{}}
	var holders []ident.Holder
	for i := range hosts {
		h := ident.Holder{Host: hostName(zoneName(i/4), i%4), Incarnation: ident.Incarnation(1<<62 + i)}
		holders = append(holders, h)
		w.write(ledger.Record{Writer: h, Join: &ledger.Join{Zone: zoneName(i / 4)}})
	}
	var limits []ledger.TeamLimit
	for i := range teams {
		limits = append(limits, ledger.TeamLimit{Team: teamName(i), Limit: int64(hosts) * 1000, Version: 1})
	}
	w.write(ledger.Record{Writer: holders[0], Limits: &ledger.Limits{Teams: limits}})
	return w.fold, holders, w
}

// ledgerWriter numbers and folds records.
type ledgerWriter struct {
	tb    testing.TB
	fold  *ledger.Fold
	nums  map[ident.Holder]uint64
	at    ports.Offset
	bytes int
}

func (w *ledgerWriter) write(rec ledger.Record) {
	w.nums[rec.Writer]++
	rec.Num = w.nums[rec.Writer]
	data, err := ledger.Encode(rec)
	if err != nil {
		w.tb.Fatal(err)
	}
	w.at++
	w.bytes = len(data)
	if v := w.fold.Apply(w.at, data); !v.Applied {
		w.tb.Fatal(v.Reason)
	}
}

// BenchmarkLedgerTransfer folds one transfer of one team's units, among as many
// holders and teams.
func BenchmarkLedgerTransfer(b *testing.B) {
	for _, s := range []struct{ hosts, teams int }{{9, 6}, {132, 250}} {
		b.Run(fmt.Sprintf("hosts=%d/teams=%d", s.hosts, s.teams), func(b *testing.B) {
			_, holders, w := ledgerOf(b, s.hosts, s.teams)
			n := 0
			for b.Loop() {
				from, to := holders[n%2], holders[1-n%2]
				n++
				w.write(ledger.Record{Writer: from, Moves: &ledger.Moves{Transfers: []ledger.Transfer{{Team: teamName(1), To: to, Units: 5}}}})
			}
			b.ReportMetric(float64(w.bytes), "record-B")
		})
	}
}

// BenchmarkLedgerState is the memory of a ledger.
func BenchmarkLedgerState(b *testing.B) {
	for _, s := range []struct{ hosts, teams int }{{9, 6}, {132, 6}, {132, 250}} {
		b.Run(fmt.Sprintf("hosts=%d/teams=%d", s.hosts, s.teams), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(func() any { fold, _, _ := ledgerOf(b, s.hosts, s.teams); return fold })/1024, "KiB")
			}
		})
	}
}

// BenchmarkConfigChange folds one change of a team's limit in a configuration
// of 250 teams with a key each and up to 250 services.
func BenchmarkConfigChange(b *testing.B) {
	for _, s := range []struct {
		teams, services int
	}{{6, 20}, {250, 20}, {250, 250}} {
		b.Run(fmt.Sprintf("teams=%d/services=%d", s.teams, s.services), func(b *testing.B) {
			full := letter
			full.teams = s.teams
			records, err := configuration(full, s.services)
			if err != nil {
				b.Fatal(err)
			}
			state, _, err := fleet.Apply(fleet.Empty(), ports.Record{Offset: 1, Data: records[0]})
			if err != nil {
				b.Fatal(err)
			}
			limit := int64(7)
			plan, err := fleet.MakePlan(state, fleet.Intent{Teams: []fleet.WantTeam{{Team: teamName(1), Limit: &limit}}}, "asha", wallStart, fleet.NoImpact{})
			if err != nil {
				b.Fatal(err)
			}
			data, err := fleet.EncodeChange(plan.Change("asha", wallStart))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, result, _ := fleet.Apply(state, ports.Record{Offset: 2, Data: data}); result.Status != fleet.StatusApplied {
					b.Fatal(result.Reason)
				}
			}
			b.ReportMetric(float64(len(data)), "record-B")
			b.ReportMetric(float64(len(fleet.Encode(state)))/1024, "state-KiB")
			b.ReportMetric(float64(jsonBytes(ports.Page{Records: []ports.Record{{Offset: 2, Data: data}}, First: 1, Last: 2})), "page-B")
			b.ReportMetric(float64(jsonBytes(ports.Page{First: 1, Last: 2})), "empty-page-B")
		})
	}
}
