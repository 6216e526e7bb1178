package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// jobReply is what tests read of an answer about a job.
type jobReply struct {
	Job, State, Outcome, Reason string
	Failed                      bool
}

// header is a header of a request.
type header struct{ name, value string }

// jobTimeout bounds a call about a job; a submission may wait for the log.
const jobTimeout = 20 * time.Second

// callJobs calls the interface for jobs. The status is 0 if no answer came.
func callJobs(h *host, key, method, path, body string, headers ...header) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.url(path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, []byte(err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for _, h := range headers {
		req.Header.Set(h.name, h.value)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return res.StatusCode, data
}

// submit submits a job, again while it is refused as not run.
func (c *cluster) submit(t *testing.T, h *host, spec string, headers ...header) string {
	t.Helper()
	var reply jobReply
	until(t, "a job is accepted by "+h.id, func() bool {
		status, data := callJobs(h, c.keys[teams[0]], http.MethodPost, "/v1/jobs", spec, headers...)
		if status == http.StatusAccepted {
			return json.Unmarshal(data, &reply) == nil
		}
		if !bytes.Contains(data, []byte(`"not run"`)) {
			t.Fatalf("submit to %s: status %d: %s", h.id, status, data)
		}
		return false
	})
	return reply.Job
}

// job asks how a job stands. It reports false if no host could say now.
func (c *cluster) job(t *testing.T, h *host, job string) (jobReply, bool) {
	t.Helper()
	var reply jobReply
	status, data := callJobs(h, c.keys[teams[0]], http.MethodGet, "/v1/jobs/"+job, "")
	if status == http.StatusNotFound {
		t.Fatalf("job %s was lost: %s", job, data)
	}
	return reply, status == http.StatusOK && json.Unmarshal(data, &reply) == nil
}

// untilState waits until a job is in a state.
func (c *cluster) untilState(t *testing.T, h *host, job, state string) jobReply {
	t.Helper()
	var last jobReply
	came := comes(func() bool {
		reply, ok := c.job(t, h, job)
		if ok {
			last = reply
		}
		return ok && reply.State == state
	})
	if !came {
		why, _ := c.cli(t, "explain", job)
		t.Fatalf("waited in vain until job %s is %s; last %+v\n%s", job, state, last, why)
	}
	return last
}

// awaitRan waits until every job has ended and checks that it ran.
func (c *cluster) awaitRan(t *testing.T, h *host, jobs ...string) {
	t.Helper()
	for _, job := range jobs {
		if reply := c.untilState(t, h, job, "ended"); reply.Outcome != "ran" || reply.Failed {
			t.Errorf("job %s ended as %+v, want it to have run", job, reply)
		}
	}
}
