package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/problem"
)

func teamID(team string) ident.TeamID { return ident.TeamID(team) }

const goodJob = `{"kind":"batch","need":{"milli_cpu":1000},"run":"10ms"}`

// A caller's program writes jobs with mistakes. It must be told every field
// that is wrong at once, and nothing of the job may run.
func TestBadSubmissionsNameTheirFields(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	c.untilServed(t)
	cases := []struct {
		name, body string
		fields     []string
	}{
		{"unknown field", `{"kind":"batch","need":{"milli_cpu":1},"priority":3}`, []string{"priority"}},
		{"unknown nested field", `{"kind":"batch","need":{"milli_cpu":1,"gpu":1}}`, []string{"gpu"}},
		{"two documents", goodJob + goodJob, []string{"body"}},
		{"no document", ``, []string{"body"}},
		{"cut document", `{"kind":"batch"`, []string{"body"}},
		{"not an object", `[]`, []string{"body"}},
		{"null", `null`, []string{"kind", "need"}},
		{"text for a number", `{"kind":"batch","need":{"milli_cpu":"one"}}`, []string{"need.milli_cpu"}},
		{"fraction for a count", `{"kind":"batch","need":{"milli_cpu":1},"tasks":1.5}`, []string{"tasks"}},
		{"number beyond any integer", `{"kind":"batch","need":{"milli_cpu":1e40}}`, []string{"need.milli_cpu"}},
		{"number for a duration", `{"kind":"batch","need":{"milli_cpu":1},"run":5}`, []string{"run"}},
		{"durations without units", `{"kind":"batch","need":{"milli_cpu":1},"run":"5","limit":"soon"}`, []string{"limit", "run"}},
		{"all out of range", `{"kind":"service","name":"` + strings.Repeat("n", 129) + `","need":{"milli_cpu":-1,"memory_mib":-1,"accelerators":-1},` +
			`"tasks":10001,"run":"-1s","limit":"721h","deadline":"-1s","max_attempts":21}`,
			[]string{"deadline", "kind", "limit", "max_attempts", "name", "need.accelerators", "need.memory_mib", "need.milli_cpu", "run", "tasks"}},
		{"sizes that overflow sums", `{"kind":"gang","tasks":10000,"need":{"milli_cpu":9223372036854775807,"memory_mib":9223372036854775807,"accelerators":9223372036854775807}}`,
			[]string{"need.accelerators", "need.memory_mib", "need.milli_cpu"}},
		{"no need", `{"kind":"batch"}`, []string{"need"}},
		{"name that drives a terminal", `{"kind":"batch","need":{"milli_cpu":1},"name":"\u001b[2J"}`, []string{"name"}},
		{"payload too long", `{"kind":"batch","need":{"milli_cpu":1},"payload":"` + strings.Repeat("p", 65537) + `"}`, []string{"payload"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := c.do(t, http.MethodPost, "/v1/jobs", tc.body).refused(t, problem.TypeMalformed)
			var names []string
			for _, field := range p.Fields {
				names = append(names, field.Name)
				if field.Allowed == "" {
					t.Errorf("field %s: nothing says what is allowed", field.Name)
				}
			}
			slices.Sort(names)
			if diff := cmp.Diff(tc.fields, names); diff != "" {
				t.Errorf("fields named (-want +got):\n%s%s", diff, p.Detail)
			}
		})
	}
}

// Callers give headers that mean nothing. Running the request with a guess at
// the meaning could run it twice or too long.
func TestBadRequestHeadersRefused(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	c.untilServed(t)
	for _, h := range []header{
		{"Non-Idempotent", "maybe"},
		{"Request-Timeout", "5"},
		{"Request-Timeout", "-5s"},
		{"Idempotency-Key", strings.Repeat("k", 256)},
	} {
		p := c.do(t, http.MethodPost, "/v1/services/grants/x", "body", h).refused(t, problem.TypeMalformed)
		if len(p.Fields) != 1 || p.Fields[0].Name != h.name {
			t.Errorf("%s: %s: fields %+v", h.name, h.value, p.Fields)
		}
	}
	if calls := f.Platform.Audit.Counts().Calls; calls != 1 {
		t.Errorf("%d calls ran, want only the first", calls)
	}
}

// A caller uses one idempotency key for two jobs by mistake, and repeats
// another submission because its answer was lost. The first must be refused,
// the second must lead to the job that exists.
func TestIdempotencyKeysOfJobs(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	key := header{"Idempotency-Key", "month-end-11"}
	first := c.settled(t, http.MethodPost, "/v1/jobs", goodJob, key)
	again := c.settled(t, http.MethodPost, "/v1/jobs", goodJob, key)
	if a, b := jobOf(t, first), jobOf(t, again); a != b {
		t.Errorf("the repeat became job %s, want %s", b, a)
	}
	c.settled(t, http.MethodPost, "/v1/jobs", `{"kind":"batch","need":{"milli_cpu":2000},"run":"10ms"}`, key).refused(t, problem.TypeConflict)
	elsewhere := callerOf(f, other).settled(t, http.MethodPost, "/v1/jobs", goodJob, key)
	if jobOf(t, elsewhere) == jobOf(t, first) {
		t.Error("another team's key led to this team's job")
	}
}

func jobOf(t *testing.T, r reply) string {
	t.Helper()
	var job struct{ Job string }
	if err := json.Unmarshal(r.body, &job); err != nil || r.status != http.StatusAccepted || job.Job == "" {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	return job.Job
}

// A caller tries identifiers of jobs that are not its own. It must learn
// nothing, not even that they exist, and change nothing.
func TestJobsOfOtherTeamsAreNotFound(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	owner := callerOf(f, team)
	job := jobOf(t, owner.settled(t, http.MethodPost, "/v1/jobs", `{"kind":"batch","need":{"milli_cpu":1000},"run":"2s"}`))
	missing := job[:strings.LastIndexByte(job, '.')] + ".zz"
	stranger := callerOf(f, other)
	for _, call := range []struct{ method, suffix string }{
		{http.MethodGet, ""}, {http.MethodGet, "?wait=1s"}, {http.MethodDelete, ""}, {http.MethodGet, "/explain"},
	} {
		theirs := stranger.settled(t, call.method, "/v1/jobs/"+job+call.suffix, "").problem(t)
		none := stranger.settled(t, call.method, "/v1/jobs/"+missing+call.suffix, "").problem(t)
		theirs.Detail = strings.ReplaceAll(theirs.Detail, job, missing)
		if theirs.Type != problem.TypeNotFound {
			t.Errorf("%s %s: %+v", call.method, call.suffix, theirs)
		}
		if diff := cmp.Diff(none, theirs); diff != "" {
			t.Errorf("%s %s: another team's job differs from none:\n%s", call.method, call.suffix, diff)
		}
	}
	until(t, "the job has run", func() bool {
		r := owner.do(t, http.MethodGet, "/v1/jobs/"+job+"?wait=10s", "")
		return strings.Contains(string(r.body), `"outcome":"ran"`)
	})
	for _, bad := range []string{"x", "a.b.c", "..", "%00", strings.Repeat("z", 3000)} {
		owner.do(t, http.MethodGet, "/v1/jobs/"+bad, "").problem(t)
	}
}

// A caller sends bodies over the limit, saying so or not. They must be refused
// before they are held in memory, and typed, so that the caller knows.
func TestBodyOverLimit(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	big := strings.Repeat("b", 5<<10)
	for _, path := range []string{"/v1/jobs", "/v1/services/grants/x"} {
		c.do(t, http.MethodPost, path, big).refused(t, problem.TypeTooLarge)
		r, err := c.try(http.MethodPost, path, unsized{strings.NewReader(big)})
		if err != nil {
			t.Fatal(err)
		}
		r.refused(t, problem.TypeTooLarge)
	}
	for n := range 20 {
		body := fmt.Sprint("small ", n)
		if r := c.do(t, http.MethodPost, "/v1/services/grants/x", body); r.status != http.StatusOK {
			t.Errorf("after the refusals: status %d: %s", r.status, r.body)
		}
	}
}

// unsized hides the length of a body, which then goes out in chunks.
type unsized struct{ io.Reader }
