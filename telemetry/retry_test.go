package telemetry

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// While the host list could not be read, operators found no sign of it: failed reads were
// retried silently. Each failure is counted, and the log gets one line when failures begin and
// one when they end, however many reads fail.
func TestRetriedFailureIsCountedAndLoggedOnce(t *testing.T) {
	logger, lines := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	reporter := RetryReporter{Metric: "host_list_reads", Operation: "reading the host list", Log: logrus.NewEntry(logger), Metrics: scope}
	down := errors.New("down")
	for _, err := range []error{nil, down, down, down, nil, nil} {
		if ok := reporter.Observe(err); ok != (err == nil) {
			t.Errorf("a try that ended with %v: success %v", err, ok)
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
		t.Errorf("%d failures counted, want 3", n)
	}
}
