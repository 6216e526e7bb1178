package losses

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logs = `  10.1 h1 {"time":"2026-01-01T00:00:10Z","zone":"a","msg":"accepted","job":"j1","queue":"q","workspace":"ws","ms":8}
{"time":"2026-01-01T00:00:10.1Z","zone":"b","msg":"assigned","job":"j1","waited_ms":60,"advised_ms_after":50,"held_by":""}
{"time":"2026-01-01T00:00:12Z","zone":"b","msg":"run lost","job":"j1","why":"its lease is over"}
{"time":"2026-01-01T00:00:12.1Z","zone":"b","msg":"assigned","job":"j1","waited_ms":2000,"held_by":""}
{"time":"2026-01-01T00:00:13Z","zone":"b","msg":"completed","job":"j1","after_ms":3000,"objective_ms":1200}
{"time":"2026-01-01T00:00:20Z","zone":"a","msg":"accepted","job":"j2","queue":"q","workspace":"ws","ms":8}
{"time":"2026-01-01T00:00:26Z","zone":"b","msg":"assigned","job":"j2","waited_ms":6000,"advised_ms_after":100,"held_by":"cap"}
{"time":"2026-01-01T00:00:27Z","zone":"b","msg":"completed","job":"j2","after_ms":7000,"objective_ms":1200}
{"time":"2026-01-01T00:00:20Z","zone":"c","msg":"accepted","job":"j3","queue":"q","workspace":"ws","ms":9}
{"time":"2026-01-01T00:00:20.1Z","zone":"b","msg":"assigned","job":"j3","waited_ms":20}
{"time":"2026-01-01T00:00:21Z","zone":"b","msg":"completed","job":"j3","after_ms":1000,"objective_ms":1200}
{"time":"2026-01-01T00:00:21Z","zone":"c","msg":"refused","job":"j4","why":"stopping"}
not a line of ours
`

// Of a job that ran twice, one that waited for its workspace's cap and one on time, the table
// lists the first two under the phase that took most of their time.
func TestTableNamesLongestPhaseOfLateJobs(t *testing.T) {
	rep, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Print(&out, rep, "job"); err != nil {
		t.Fatal(err)
	}
	want := `3 jobs completed, 2 late; 1 requests refused; 1 lines unread
job  late  past use  most of the time
j1   1     0         run again: run lost or stopped 1
j2   1     1         waited for its workspace's cap 1
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}

// Successive steps of a job are assigned one after the other. The time between them does not
// count as a rerun.
func TestLaterStepsDoNotCountAsReruns(t *testing.T) {
	const steps = `{"time":"2026-01-01T00:00:10Z","msg":"accepted","job":"j","queue":"q","ms":8}
{"time":"2026-01-01T00:00:10.1Z","msg":"assigned","job":"j","step":0,"waited_ms":20}
{"time":"2026-01-01T00:00:15Z","msg":"assigned","job":"j","step":1,"waited_ms":20}
{"time":"2026-01-01T00:00:20Z","msg":"completed","job":"j","after_ms":10000,"objective_ms":9000}
`
	rep, err := Read(strings.NewReader(steps))
	if err != nil {
		t.Fatal(err)
	}
	got := rep.LateJobs()
	if len(got) != 1 || got[0].Phase != PhaseRun {
		t.Errorf("late jobs: %+v", got)
	}
}

// Print returns an UnknownGroupError for a group that does not exist.
func TestUnknownGroupIsAnError(t *testing.T) {
	err := Print(&bytes.Buffer{}, &Report{}, "colour")
	if _, ok := err.(*UnknownGroupError); !ok {
		t.Errorf("got %v", err)
	}
}
