package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// Bounds of waiting. Nothing is asserted about shorter times.
const (
	waitLimit = 20 * time.Second
	waitPause = 20 * time.Millisecond
)

// The teams of the tests.
const (
	team  = "citizens"
	other = "crafts"
)

// startFleet starts one zone with one host and two workers, unless the options
// say otherwise.
func startFleet(t *testing.T, opts localfleet.Options) *localfleet.Fleet {
	t.Helper()
	if opts.Layout.Name == "" {
		opts.Layout = oneHost()
	}
	f, err := localfleet.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func oneHost() standin.Layout {
	l := standin.Rosenau()
	l.Zones = []standin.ZoneLayout{{Zone: "a", Workers: 2, Hosts: 1}}
	l.HostLag = 100 * time.Millisecond
	return l
}

// until polls a condition, and fails the test if it does not come about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(waitPause) {
		if holds() {
			return
		}
	}
	t.Fatalf("waited in vain until %s", what)
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// problem reads the answer as a problem document, which every refusal is.
func (r reply) problem(t *testing.T) problem.Problem {
	t.Helper()
	var p problem.Problem
	if err := json.Unmarshal(r.body, &p); err != nil {
		t.Fatalf("status %d, no problem document: %v: %s", r.status, err, r.body)
	}
	if got := r.header.Get("Content-Type"); got != problem.ContentType || p.Status != r.status || !p.Outcome.Valid() {
		t.Errorf("status %d, %s: %+v", r.status, got, p)
	}
	return p
}

// refused checks that the answer is a problem of a type, and that nothing ran.
func (r reply) refused(t *testing.T, want problem.Type) problem.Problem {
	t.Helper()
	p := r.problem(t)
	if p.Type != want || p.Outcome != work.OutcomeNotRun {
		t.Errorf("got %s (%s), want %s (not run): %s", p.Type, p.Outcome, want, p.Detail)
	}
	return p
}

// caller calls one host with one key.
type caller struct {
	base   string
	key    string
	client *http.Client
}

func callerOf(f *localfleet.Fleet, team string) caller {
	return caller{base: "http://" + f.Hosts()[0].Host.APIAddr(), key: f.Keys[teamID(team)], client: http.DefaultClient}
}

// header is a header of a request.
type header struct{ name, value string }

// try sends a request and reads the whole answer.
func (c caller) try(method, path string, body io.Reader, headers ...header) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for _, h := range headers {
		req.Header.Set(h.name, h.value)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: data}, err
}

func (c caller) do(t *testing.T, method, path, body string, headers ...header) reply {
	t.Helper()
	r, err := c.try(method, path, strings.NewReader(body), headers...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// settled repeats a request while the host is still starting.
func (c caller) settled(t *testing.T, method, path, body string, headers ...header) reply {
	t.Helper()
	var r reply
	until(t, method+" "+path+" is decided", func() bool {
		r = c.do(t, method, path, body, headers...)
		return r.status < http.StatusInternalServerError || !bytes.Contains(r.body, []byte(`"not run"`))
	})
	return r
}

// untilServed waits until the host answers requests and takes jobs.
func (c caller) untilServed(t *testing.T) {
	t.Helper()
	if r := c.settled(t, http.MethodGet, "/v1/services/grants/first", ""); r.status != http.StatusOK {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
}
