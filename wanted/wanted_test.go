package wanted

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/settings"
)

func ptr[T any](v T) *T { return &v }

func TestExampleFilesLoadAndGiveAPlan(t *testing.T) {
	for _, file := range []string{"rosenau.ini", "sabzkhata.ini"} {
		got, err := Load("../deploy/wanted/" + file)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(got.Teams) != 6 || len(got.Services) != 1 {
			t.Errorf("%s: %d teams, %d services", file, len(got.Teams), len(got.Services))
		}
		if _, err := fleet.MakePlan(fleet.Empty(), got, "asha", time.Unix(0, 0), fleet.NoImpact{}); err != nil {
			t.Errorf("%s gives no plan: %v", file, err)
		}
	}
}

func TestParse(t *testing.T) {
	got, err := Parse("f", []byte(`
[team grants]
limit = 200
[team audit]
state = absent
[service checks]
team = grants
replicas = 0
milli-cpu = 2000
memory = 4GiB
request-timeout = 5s
[worker rack1.w07]
mark = drain
reason = new memory
[host a1]
mark = none
`))
	if err != nil {
		t.Fatal(err)
	}
	want := fleet.Intent{
		Teams: []fleet.WantTeam{{Team: "grants", Limit: ptr(int64(200))}, {Team: "audit", Absent: true}},
		Services: []fleet.WantService{{
			Service: "checks", Team: ptr(ident.TeamID("grants")), Replicas: ptr(0),
			Need: &resource.Vector{MilliCPU: 2000, MemoryMiB: 4096}, RequestTimeout: ptr(5 * time.Second),
		}},
		Marks: []fleet.WantMark{
			{Target: fleet.WorkerRef("rack1.w07"), Mode: fleet.ModeDrain, Reason: "new memory"},
			{Target: fleet.HostRef("a1")},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A file with invalid fields is rejected as a whole, so that no plan covers only
// part of it. The error lists all invalid fields.
func TestErrorListsEveryInvalidField(t *testing.T) {
	_, err := Parse("f", []byte(`
stray = 1
[team]
[cluster x]
[team grants]
limit = many
limits = 3
share = 1
share = 2
state = gone
[service checks]
memory = 1000B
request-timeout = 5
[worker w1]
reason = none given
[worker w1.b]
reason = nothing comes from a section whose name is a part of this one
[worker w1.b.c]
mark = drain
[worker w1.b.c.d]
`))
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	var got []string
	for _, field := range invalid.Fields {
		got = append(got, field.Section+"/"+field.Key)
	}
	want := []string{"/stray", "team/", "cluster x/", "team grants/limits", "team grants/share", "team grants/limit",
		"team grants/state", "service checks/memory", "service checks/request-timeout", "worker w1/mark",
		"worker w1.b/mark", "worker w1.b.c.d/mark"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
