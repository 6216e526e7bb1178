package fleet

import (
	"fmt"
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// grown is a configuration of n teams with four keys and twenty services each,
// and its newest State.
func grown(b *testing.B, n int) (*State, string) {
	b.Helper()
	var secret string
	s := Empty()
	for i := range n {
		team := ident.TeamID(fmt.Sprint("team-", i))
		in := Intent{Teams: []WantTeam{{Team: team, Limit: ptr(int64(1000))}}}
		for k := range 4 {
			full := fmt.Sprintf("%s%s%d%s%064d", keyPrefix, keySep, i*4+k, keySep, i*4+k)
			secret = full
			in.Keys = append(in.Keys, WantKey{Action: KeyGive, Team: team, Key: KeyID(fmt.Sprint(i*4 + k)), Hash: hashOf(full)})
		}
		for v := range 20 {
			in.Services = append(in.Services, WantService{
				Service: ident.ServiceID(fmt.Sprintf("service-%d-%d", i, v)), Team: &team, Replicas: ptr(10),
				Need: &resource.Vector{MilliCPU: 1000, MemoryMiB: 1024},
			})
		}
		s = foldIntent(b, s, in)
	}
	return s, secret
}

// foldIntent plans and folds an intent.
func foldIntent(b *testing.B, s *State, in Intent) *State {
	b.Helper()
	next, result, err := Apply(s, ports.Record{Offset: s.Offset() + 1, Data: recordOf(b, s, in)})
	if err != nil || result.Status != StatusApplied {
		b.Fatal(err, result.Reason)
	}
	return next
}

func recordOf(b *testing.B, s *State, in Intent) []byte {
	b.Helper()
	p, err := MakePlan(s, in, "asha", wall, NoImpact{})
	if err != nil {
		b.Fatal(err)
	}
	data, err := EncodeChange(p.Change("asha", wall))
	if err != nil {
		b.Fatal(err)
	}
	return data
}

var sizes = []int{6, 25, 250} // teams

// BenchmarkApply folds one change of a limit.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("teams=", n), func(b *testing.B) {
			s, _ := grown(b, n)
			data := recordOf(b, s, Intent{Teams: []WantTeam{{Team: "team-1", Limit: ptr(int64(7))}}})
			b.ReportAllocs()
			for b.Loop() {
				if _, result, _ := Apply(s, ports.Record{Offset: s.Offset() + 1, Data: data}); result.Status != StatusApplied {
					b.Fatal(result.Reason)
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// BenchmarkEncode renders the whole State, as for a snapshot or a new host.
func BenchmarkEncode(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("teams=", n), func(b *testing.B) {
			s, _ := grown(b, n)
			for b.Loop() {
				Encode(s)
			}
			b.ReportMetric(float64(len(Encode(s))), "state-bytes")
			group, err := SnapshotGroup(s, wall)
			if err != nil {
				b.Fatal(err)
			}
			snapshot := 0
			for _, part := range group {
				snapshot += len(part)
			}
			b.ReportMetric(float64(snapshot), "snapshot-bytes")
		})
	}
}

// BenchmarkAuthenticate checks a valid key.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("teams=", n), func(b *testing.B) {
			s, secret := grown(b, n)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Authenticate(secret, wall); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
