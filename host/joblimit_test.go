package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a submission of a few bytes for which the leader, and each successor, allocates
// billions of tasks.
func TestSubmissionWithTooManyTasksIsRejected(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	for field, body := range map[string]string{
		"steps[0].count": `{"spec":"[]","steps":[{"count":2000000000,"cpu":1}]}`,
		"steps[1].count": `{"spec":"[]","steps":[{"count":5000,"cpu":1},{"count":8000,"cpu":1}]}`,
		"repeatCount":    `{"spec":"[]","steps":[{"count":3,"cpu":1}],"repeatCount":2000000000,"firstRunMs":1,"intervalMs":1}`,
	} {
		status, answer := f.call(m, http.MethodPost, jobPath(1), "k1", body)
		if status != http.StatusBadRequest || !strings.Contains(answer, fmt.Sprintf("%q:%q", "field", field)) || !strings.Contains(answer, `"bound":`) {
			t.Errorf("%s: answered with %d %s", field, status, answer)
		}
	}
	if status, _ := f.call(m, http.MethodPost, jobPath(2), "k1", twoTasks); status != http.StatusOK {
		t.Errorf("a small submission was answered with %d", status)
	}
}

func TestCheckJobSize(t *testing.T) {
	const largest = 1<<31 - 1
	steps := func(counts ...int32) (out []*record.Step) {
		for _, n := range counts {
			out = append(out, &record.Step{Count: n})
		}
		return out
	}
	for name, c := range map[string]struct {
		job   *record.Job
		field string
		bound int64
	}{
		"fits":          {job: &record.Job{Steps: steps(60, 40)}},
		"repeated fits": {job: &record.Job{Steps: steps(10), RepeatCount: 10}},
		"sum":           {job: &record.Job{Steps: steps(60, 41)}, field: "steps[1].count", bound: 40},
		"occurrences":   {job: &record.Job{Steps: steps(10), RepeatCount: 11}, field: "repeatCount", bound: 10},
		"overflow":      {job: &record.Job{Steps: steps(largest, largest, largest), RepeatCount: largest}, field: "steps[0].count", bound: 100},
	} {
		t.Run(name, func(t *testing.T) {
			large := checkJobSize(c.job, 100)
			if (large != nil) != (c.field != "") {
				t.Fatalf("error %v", large)
			}
			if large != nil && (large.Field != c.field || large.Bound != c.bound) {
				t.Errorf("field %s, bound %d; want %s, %d", large.Field, large.Bound, c.field, c.bound)
			}
		})
	}
}
