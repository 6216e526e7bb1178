package telemetry

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// The host list cannot be read for a while, and an operator finds nothing about it: each
// read that failed was tried again without a word. Each is counted, and the log has one
// line for the beginning and one for the end, however many reads fail.
func TestRepeatedFailuresAreTold(t *testing.T) {
	logger, lines := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	r := Repeated{Name: "host_list_reads", What: "reading the host list", Log: logrus.NewEntry(logger), Metrics: scope}
	down := errors.New("down")
	for _, err := range []error{nil, down, down, down, nil, nil} {
		if ok := r.Ended(err); ok != (err == nil) {
			t.Errorf("a try that ended with %v: %v", err, ok)
		}
	}
	var got []string
	for _, line := range lines.AllEntries() {
		got = append(got, line.Level.String()+": "+line.Message)
	}
	if diff := cmp.Diff([]string{"warning: reading the host list fails", "info: reading the host list succeeds again"}, got); diff != "" {
		t.Error(diff)
	}
	if n := scope.Snapshot().Counters()["host_list_reads_failures+"].Value(); n != 3 {
		t.Errorf("%d failures are counted, want 3", n)
	}
}
