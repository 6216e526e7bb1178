package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// tool runs commands against hosts and keeps what they print.
type tool struct {
	t        *testing.T
	hosts    string
	out, err bytes.Buffer
}

// run runs one command line and returns its exit code.
func (c *tool) run(args ...string) Exit {
	c.t.Helper()
	c.out.Reset()
	c.err.Reset()
	env := Env{
		Stdout: &c.out, Stderr: &c.err, Random: rand.NewChaCha8([32]byte{7}),
		Getenv: func(name string) string { return map[string]string{EnvHost: c.hosts, EnvKey: "token"}[name] },
	}
	top := flag.NewFlagSet("fireflyfold", flag.ContinueOnError)
	commander := subcommands.NewCommander(top, "fireflyfold")
	commander.Error = io.Discard
	RegisterEnv(commander, env)
	if err := top.Parse(args); err != nil {
		c.t.Fatal(err)
	}
	return commander.Execute(context.Background())
}

// serve starts a host that answers every call with handle.
func serve(t *testing.T, handle http.HandlerFunc) *tool {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return &tool{t: t, hosts: server.Listener.Addr().String()}
}

// answers starts a host that gives one answer to every call.
func answers(t *testing.T, status int, v any) *tool {
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	})
}

// expect checks the exit code, and that the output holds every part.
func (c *tool) expect(got, want Exit, parts ...string) {
	c.t.Helper()
	all := c.out.String() + c.err.String()
	if got != want {
		c.t.Errorf("exit code %d, want %d: %s", got, want, all)
	}
	for _, part := range parts {
		if !strings.Contains(all, part) {
			c.t.Errorf("%q is missing from:\n%s", part, all)
		}
	}
}

// closedPort returns an address at which nobody listens.
func closedPort(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Exit codes are a promise to scripts: each refusal has its own.
func TestExitCodes(t *testing.T) {
	refused := func(p *problem.Problem) *tool { return answers(t, p.Status, p) }
	job := func(outcome string, failed bool) *tool {
		return answers(t, http.StatusOK, jobAnswer{Job: "a.b.1.2", Outcome: outcome, Failed: failed, Reason: "why"})
	}
	malformed := problem.NotRun(problem.TypeMalformed, "")
	malformed.Fields = []problem.Field{{Name: "tasks", Value: "0", Allowed: "1 to 10000"}}
	cases := []struct {
		host *tool
		args []string
		want Exit
		part string
	}{
		{answers(t, 202, jobAnswer{Job: "a.b.1.2"}), []string{"submit"}, ExitOK, "a.b.1.2"},
		{job("ran", false), []string{"status", "a.b.1.2"}, ExitOK, "ran"},
		{job("ran", true), []string{"status", "a.b.1.2"}, ExitFailed, "fireflyfold explain a.b.1.2"},
		{job("not run", false), []string{"status", "a.b.1.2"}, ExitNotRun, "why"},
		{job("unknown", false), []string{"status", "a.b.1.2"}, ExitUnknown, "why"},
		{job("", false), []string{"status", "--wait", "1ms", "a.b.1.2"}, ExitPending, "still"},
		{job("ran", false), []string{"submit", "extra"}, ExitUsage, "flags only"},
		{job("ran", false), []string{"submit", "--memory", "1KiB"}, ExitUsage, "whole MiB"},
		{job("ran", false), []string{"status", "a", "b"}, ExitUsage, "exactly one"},
		{job("ran", false), []string{"plan"}, ExitUsage, "say what you want"},
		{job("ran", false), []string{"plan", "--file", "none.ini"}, ExitUsage, "none.ini"},
		{job("ran", false), []string{"plan", "--drain", "w1"}, ExitUsage, "worker/NAME"},
		{job("ran", false), []string{"plan", "--team", "x"}, ExitUsage, "no plan"},
		{job("ran", false), []string{"confirm", "none"}, ExitUsage, "none.plan"},
		{refused(problem.NotRun(problem.TypeBusy, "full").After(3 * time.Second)), []string{"submit"}, ExitNotRun, "again after 3 s"},
		{refused(malformed), []string{"submit"}, ExitNotRun, "tasks = \"0\": allowed is 1 to 10000"},
		{refused(problem.Unknown(problem.TypeUpstream, "cut")), []string{"submit"}, ExitUnknown, "--idempotency-key "},
		{refused(problem.NotRun(problem.TypeUnauthorized, "")), []string{"teams"}, ExitUnauthorized, EnvKey},
		{refused(problem.NotRun(problem.TypeStalePlan, "by bert")), []string{"plan", "--team", "x"}, ExitStale, "by bert"},
		{&tool{t: t, hosts: closedPort(t)}, []string{"submit"}, ExitUnreachable, "nothing changed"},
		{&tool{t: t, hosts: ","}, []string{"submit"}, ExitUsage, "--host"},
		{&tool{t: t}, []string{"check-settings", "../deploy/sabzkhata.ini"}, ExitOK, "all fields are allowed"},
		{&tool{t: t}, []string{"check-settings", "../deploy/wanted/rosenau.ini"}, ExitUsage, "[host] zone"},
	}
	for _, c := range cases {
		c.host.t = t
		c.host.expect(c.host.run(c.args...), c.want, c.part)
	}
}

// Story: the host takes a submission and dies before it answers. The command
// must not call this "not run", and must not try the next host, or the job
// could run twice; a question in the same place is simply unanswered.
func TestLostAnswer(t *testing.T) {
	var calls atomic.Int32
	dying := func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	c := serve(t, dying)
	other := serve(t, dying)
	c.hosts += "," + other.hosts
	c.expect(c.run("submit"), ExitUnknown, "--idempotency-key")
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls", n)
	}
	c.expect(c.run("teams"), ExitUnreachable)
}

// Story: the first entry host is gone and the second one works. Nothing was
// sent to the first, so the second may be asked.
func TestNextHost(t *testing.T) {
	c := answers(t, http.StatusAccepted, jobAnswer{Job: "a.b.1.2"})
	c.hosts = closedPort(t) + ", " + c.hosts
	c.expect(c.run("submit"), ExitOK, "a.b.1.2")
}

// The first host's process is stopped: it takes connections and never answers.
// A question must go on to the next host, for an operator would otherwise see
// nothing of a fleet that works.
func TestHangingHostIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	host := answers(t, http.StatusOK, []admin.HostStatus{{Host: "north-h1", Zone: "north"}})
	host.hosts = listener.Addr().String() + "," + host.hosts
	host.expect(host.run("hosts"), ExitOK, "north-h1")
}

// Story: the zone that a drawn idempotency key belongs to is cut off. The job
// truly did not run, so another key, of another zone, is tried; a key that the
// caller chose is never replaced.
func TestDrawnKeyOfAnotherZone(t *testing.T) {
	keys := make(map[string]bool)
	calls := 0
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		keys[r.Header.Get(headerIdempotency)] = true
		if calls%3 == 0 {
			fmt.Fprint(w, `{"job":"a.b.1.2"}`)
			return
		}
		problem.Write(w, problem.NotRun(problem.TypeNotReady, "zone b cannot be reached"))
	})
	c.expect(c.run("submit"), ExitOK, "a.b.1.2")
	if calls != 3 || len(keys) != 3 {
		t.Errorf("%d calls with %d keys", calls, len(keys))
	}
	c.expect(c.run("submit", "--idempotency-key", "mine"), ExitNotRun)
	if calls != 4 || !keys["mine"] {
		t.Errorf("%d calls", calls)
	}
}

// Story: a balancer answers a submission with its own page, "502 Bad Gateway".
// The page says nothing about whether the job was taken.
func TestBalancerPageProvesNothing(t *testing.T) {
	for _, page := range []string{"<html>502", `{"error":"bad gateway"}`, `{"type":"urn:x"}`, `{"type":"urn:x","outcome":"maybe"}`} {
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, page, http.StatusBadGateway)
		})
		c.expect(c.run("submit"), ExitUnknown, "without saying whether it ran")
	}
}

func TestSubmissionBody(t *testing.T) {
	var got map[string]any
	var key string
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		key = r.Header.Get("Authorization") + " " + r.Header.Get(headerIdempotency)
		_ = json.NewDecoder(r.Body).Decode(&got)
		fmt.Fprint(w, `{"job":"a.b.1.2"}`)
	})
	c.run("submit", "--kind", "gang", "--tasks", "4", "--memory", "1GiB", "--run", "30s", "--non-idempotent",
		"--idempotency-key", "k1", "--key", "ffk_x")
	want := map[string]any{
		"kind": "gang", "tasks": 4.0, "run": "30s", "non_idempotent": true,
		"need": map[string]any{"milli_cpu": 1000.0, "memory_mib": 1024.0},
	}
	if diff := cmp.Diff(want, got); diff != "" || key != "Bearer ffk_x k1" {
		t.Error(key, diff)
	}
}

// Story: an operator gives a key. It is drawn on the operator's machine and
// printed once: neither the request nor the plan file holds it, only its hash.
func TestKeyNeverLeavesTheOperator(t *testing.T) {
	t.Chdir(t.TempDir())
	state := fleet.Empty()
	var sent []byte
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ = io.ReadAll(r.Body)
		if r.URL.Path == admin.PathConfirm {
			var plan fleet.Plan
			if err := json.Unmarshal(sent, &plan); err != nil {
				t.Error(err)
			}
			_ = json.NewEncoder(w).Encode(admin.Confirmation{Plan: plan.ID, Offset: 9})
			return
		}
		var in fleet.Intent
		if err := json.Unmarshal(sent, &in); err != nil {
			t.Error(err)
		}
		plan, err := fleet.MakePlan(state, in, "asha", time.Unix(0, 0), fleet.NoImpact{})
		if err != nil {
			t.Error(err)
		}
		_ = json.NewEncoder(w).Encode(plan)
	})
	limit := "[team grants]\nlimit = 9\n"
	if err := os.WriteFile("w.ini", []byte(limit), 0o600); err != nil {
		t.Fatal(err)
	}
	c.expect(c.run("plan", "--file", "w.ini", "--give-key", "grants", "--out", "p"), ExitOK,
		"Nothing has changed yet", "team grants: absent -> share 1, limit 9 units", "fireflyfold confirm p", "ffk_")
	key := "ffk_" + strings.Fields(strings.SplitN(c.out.String(), "ffk_", 2)[1])[0]
	file, err := os.ReadFile("p")
	if err != nil {
		t.Fatal(err)
	}
	secret := key[strings.LastIndex(key, "_")+1:]
	if bytes.Contains(sent, []byte(secret)) || bytes.Contains(file, []byte(secret)) {
		t.Error("the key was sent or written")
	}
	if hash := fmt.Sprintf("%x", sha256.Sum256([]byte(key))); !bytes.Contains(file, []byte(hash)) {
		t.Errorf("the plan does not hold the hash of %s", key)
	}
	c.expect(c.run("confirm", "p"), ExitOK, "in force from offset 9")
	c.expect(c.run("drain", "--reason", "repair", "worker", "w7"), ExitOK, "worker w7: no mark -> drain (repair)", ".plan")
}

// Every command's help shows an example and the exit codes.
func TestHelp(t *testing.T) {
	commander := subcommands.NewCommander(flag.NewFlagSet("", flag.ContinueOnError), "fireflyfold")
	Register(commander)
	count := 0
	commander.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
		count++
		if !strings.Contains(c.Usage(), "  fireflyfold "+c.Name()) || !strings.Contains(c.Usage(), exitTable) || c.Synopsis() == "" {
			t.Errorf("%s: %s", c.Name(), c.Usage())
		}
	})
	if count != 13 {
		t.Errorf("%d commands", count)
	}
}

// fleetStatus is a fleet of many hosts and teams with something wrong.
func fleetStatus() admin.Status {
	s := admin.Status{
		Host: "a1", Zone: "oberbayern-1", Config: admin.ConfigStatus{Offset: 7, Age: 60, Source: admin.SourcePeer},
		Degraded: []admin.Degradation{{What: "zone ober-d cannot be reached", Means: "it serves alone", Do: "nothing", Since: 40}},
		Queues:   []admin.QueueStatus{{Zone: "oberbayern-1", Kind: work.KindBatch, Waiting: 3, Oldest: 2.5}},
	}
	for i := range 30 {
		s.Hosts = append(s.Hosts, admin.HostStatus{Host: ident.HostID(fmt.Sprint("h", i)), State: "live"})
		s.Teams = append(s.Teams, admin.TeamStatus{Team: ident.TeamID(fmt.Sprint("t", i)), Units: int64(i), Limit: 30, Using: 0.5})
	}
	s.Hosts[29].State = "silent"
	for i := range 4 {
		s.Zones = append(s.Zones, admin.ZoneStatus{Zone: ident.Zone(fmt.Sprint("z", i)), Reachable: i != 3,
			Size: resource.Vector{MilliCPU: 1000}, Used: resource.Vector{MilliCPU: 250}})
	}
	return s
}

// The whole fleet fits one screen, and what is wrong comes first.
func TestStatusFitsOneScreen(t *testing.T) {
	c := answers(t, http.StatusOK, fleetStatus())
	c.expect(c.run("status"), ExitOK, "ober-d cannot be reached (for 40s)", "means: it serves alone", "OLD", "log cannot be reached",
		"NO", "cpu 25.0%", "... and 18 more: fireflyfold hosts", "2.5s", "(none)")
	text := c.out.String()
	if lines := strings.Count(text, "\n"); lines > 60 {
		t.Errorf("%d lines", lines)
	}
	if hosts := text[strings.Index(text, "HOSTS"):]; strings.Index(hosts, "h29") > strings.Index(hosts, "h0 ") {
		t.Error("the silent host does not come first")
	}
	if strings.Contains(text, "t0 ") || !strings.Contains(text, "t29 ") {
		t.Error("teams nearest to their limit do not come first")
	}
	c.expect(c.run("status", "--json"), ExitOK, `"age_seconds": 60`)
}

func TestLists(t *testing.T) {
	cases := []struct {
		command string
		rows    any
		want    string
	}{
		{"teams", []admin.TeamStatus{{Team: "grants", Units: 5, Limit: 9, Partial: true}}, ">=5"},
		{"keys", []admin.KeyStatus{{Key: "k1", Team: "grants", State: "ending", Until: time.Unix(0, 0)}}, "1970-01-01 00:00:00Z"},
		{"workers", []admin.WorkerStatus{{Worker: "w1", State: "quarantined", Why: "9 of 10 failed"}}, "9 of 10 failed"},
		{"hosts", []admin.HostStatus{{Host: "a1", Scheduler: true}}, "a1 (scheduler)"},
		{"history", []admin.HistoryEntry{{Event: "takeover", Object: "worker w1", Reason: "a2 was silent"}}, "a2 was silent"},
	}
	for _, c := range cases {
		host := answers(t, http.StatusOK, c.rows)
		host.expect(host.run(c.command), ExitOK, c.want)
	}
}

// Story: a caller explains its own job with the team's key, an operator any job
// with a token. Each reaches the page that accepts what it presents.
func TestExplainAsCallerAndAsOperator(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/jobs/a.b.1.2/explain" && strings.HasPrefix(r.Header.Get("Authorization"), "Bearer ffk_"):
			_ = json.NewEncoder(w).Encode(jobAnswer{Job: "a.b.1.2", Explanation: "caller's page"})
		case r.URL.Path == "/v1/admin/explain/a.b.1.2" && r.Header.Get("Authorization") == "Bearer token":
			_ = json.NewEncoder(w).Encode(admin.Explanation{Job: ident.JobID{Zone: "a", Host: "b"}, Words: []string{"operator's page"}})
		default:
			t.Errorf("asked for %s", r.URL.Path)
		}
	})
	c.expect(c.run("explain", "--key", "ffk_1_2", "a.b.1.2"), ExitOK, "caller's page")
	c.expect(c.run("explain", "a.b.1.2"), ExitOK, "operator's page")
}
