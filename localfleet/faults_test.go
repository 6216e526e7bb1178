package localfleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/standin"
)

// jobReply is what tests read of an answer about a job.
type jobReply struct {
	Job, State, Outcome, Reason string
}

func submit(t testing.TB, f *localfleet.Fleet, m *localfleet.Member, team ident.TeamID, spec string) string {
	t.Helper()
	data := do(t, http.MethodPost, "http://"+m.Host.APIAddr()+"/v1/jobs", f.Keys[team], spec, http.StatusAccepted)
	return parseJob(t, data).Job
}

func parseJob(t testing.TB, data []byte) jobReply {
	t.Helper()
	var reply jobReply
	if err := json.Unmarshal(data, &reply); err != nil {
		t.Fatalf("%v: %s", err, data)
	}
	return reply
}

// await asks a host until the job has ended.
func await(t testing.TB, f *localfleet.Fleet, m *localfleet.Member, team ident.TeamID, job string) jobReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		url := "http://" + m.Host.APIAddr() + "/v1/jobs/" + job + "?wait=5s"
		status, data := once(ctx, t, http.MethodGet, url, f.Keys[team], "")
		if status == http.StatusOK && parseJob(t, data).State == "ended" {
			return parseJob(t, data)
		}
		if status == http.StatusNotFound {
			t.Fatalf("job %s was lost: %s", job, data)
		}
		time.Sleep(retryPause)
	}
	t.Fatalf("job %s has not ended", job)
	return jobReply{}
}

// untilRunning waits until a task of the job runs.
func untilRunning(t testing.TB, f *localfleet.Fleet, m *localfleet.Member, team ident.TeamID, job string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, data := once(ctx, t, http.MethodGet, "http://"+m.Host.APIAddr()+"/v1/jobs/"+job, f.Keys[team], "")
		if status == http.StatusOK && parseJob(t, data).State == "running" {
			return
		}
		time.Sleep(retryPause)
	}
	t.Fatalf("job %s does not run", job)
}

// scheduler returns the host that schedules a zone, once one does.
func scheduler(t testing.TB, f *localfleet.Fleet, zone ident.Zone) *localfleet.Member {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range f.Hosts() {
			if m.Zone == zone && m.Running() && m.Host.Scheduling() {
				return m
			}
		}
		time.Sleep(retryPause)
	}
	t.Fatalf("no host schedules zone %s", zone)
	return nil
}

// checkAudit fails the test if the workers saw a broken promise.
func checkAudit(t testing.TB, f *localfleet.Fleet) {
	t.Helper()
	counts := f.Platform.Audit.Counts()
	if counts.Doubled != 0 || counts.Overlapped != 0 || counts.OverCapacity != 0 {
		t.Errorf("doubled %d, overlapped %d, over capacity %d; want none", counts.Doubled, counts.Overlapped, counts.OverCapacity)
	}
	for team := range f.Keys {
		if _, peak := f.Platform.Audit.Units(team); peak > f.Limit() {
			t.Errorf("team %s had %d units running, limit %d", team, peak, f.Limit())
		}
	}
}

func other(f *localfleet.Fleet, not *localfleet.Member) *localfleet.Member {
	for _, m := range f.Hosts() {
		if m != not && m.Running() {
			return m
		}
	}
	return nil
}

// A month-end batch runs when the host that schedules it crashes. The caller
// asks another host and must see every job end, each having run once. The
// danger is a successor that starts again what still runs on the workers.
func TestSchedulerCrashKeepsJobs(t *testing.T) {
	f := start(t, smallLayout())
	m := scheduler(t, f, "a")
	var jobs []string
	for i := range 8 {
		spec := fmt.Sprintf(`{"kind":"batch","name":"n%d","need":{"milli_cpu":4000},"tasks":4,"run":"3s"}`, i)
		jobs = append(jobs, submit(t, f, m, "citizens", spec))
	}
	untilRunning(t, f, m, "citizens", jobs[0])
	f.Kill(m.ID)
	f.Unlist(m.ID)
	next := other(f, m)
	for _, job := range jobs {
		if reply := await(t, f, next, "citizens", job); reply.Outcome != "ran" {
			t.Errorf("job %s: %+v, want it to have run", job, reply)
		}
	}
	checkAudit(t, f)
}

// An operator's planned stop of a host under load. Callers that use the other
// host, or repeat what was refused as not run, must get every answer whole:
// a stop that cuts a request in flight would show as a broken connection.
func TestDrainCutsNothing(t *testing.T) {
	layout := smallLayout()
	layout.ServiceTime = 100 * time.Millisecond
	f := start(t, layout)
	first := f.Hosts()[0]
	const callers = 16
	done := make(chan error)
	answered := make(chan struct{}, callers)
	for range callers {
		go func() { done <- callUntilStopped(f, first, answered) }()
	}
	for range callers {
		<-answered
	}
	f.Drain(first.ID)
	for range callers {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	checkAudit(t, f)
}

// callUntilStopped sends requests to one host until it refuses them because it
// stops, and tells of the first answer. Anything but a whole answer or a
// refusal as not run is an error.
func callUntilStopped(f *localfleet.Fleet, m *localfleet.Member, answered chan<- struct{}) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for first := true; ; {
		req, err := http.NewRequest(http.MethodPost, "http://"+m.Host.APIAddr()+"/v1/services/grants/x", bytes.NewReader([]byte("body")))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+f.Keys["citizens"])
		res, err := client.Do(req)
		if err != nil {
			if m.Running() {
				return err
			}
			return nil // refused to connect: the host has stopped
		}
		var body bytes.Buffer
		_, err = body.ReadFrom(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return err
		case res.StatusCode == http.StatusOK:
			if first {
				first = false
				answered <- struct{}{}
			}
		case bytes.Contains(body.Bytes(), []byte(`"not run"`)):
			if bytes.Contains(body.Bytes(), []byte("stopping")) {
				return nil
			}
		default:
			return fmt.Errorf("status %d: %s", res.StatusCode, body.Bytes())
		}
	}
}

// The platform's log is down while callers send requests. They must be
// answered all the same; a job is refused as not run, and accepted again once
// the log is back.
func TestLogOutageServesRequests(t *testing.T) {
	f := start(t, smallLayout())
	m := scheduler(t, f, "a")
	base := "http://" + m.Host.APIAddr()
	key := f.Keys["citizens"]
	do(t, http.MethodPost, base+"/v1/services/grants/x", key, "before", http.StatusOK)
	f.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	for range 20 {
		do(t, http.MethodPost, base+"/v1/services/grants/x", key, "during", http.StatusOK)
	}
	status, data := once(context.Background(), t, http.MethodPost, base+"/v1/jobs", key,
		`{"kind":"batch","need":{"milli_cpu":1000},"run":"10ms"}`)
	if status == http.StatusAccepted {
		t.Errorf("job accepted while the log is down: %s", data)
	}
	f.Platform.Log.SetFaults(standin.LogFaults{})
	job := submit(t, f, m, "citizens", `{"kind":"batch","need":{"milli_cpu":1000},"run":"10ms"}`)
	if reply := await(t, f, m, "citizens", job); reply.Outcome != "ran" {
		t.Errorf("job after the outage: %+v", reply)
	}
	checkAudit(t, f)
}

// fourZones is a zone of two hosts and three zones of one, with few workers.
func fourZones() standin.Layout {
	l := standin.Rosenau()
	for i := range l.Zones {
		l.Zones[i].Workers = 3
		l.Zones[i].Hosts = 1
	}
	l.Zones[0].Hosts = 2
	l.HostLag = 100 * time.Millisecond
	return l
}

// A zone is cut off from the other zones and from the platform. Callers inside
// it must still be answered, by the zone's own workers and with the units its
// hosts hold, and so must callers outside.
func TestCutOffZoneServes(t *testing.T) {
	f := start(t, fourZones())
	var bases []string
	for _, m := range f.Hosts() {
		scheduler(t, f, m.Zone)
		bases = append(bases, "http://"+m.Host.APIAddr())
		do(t, http.MethodPost, bases[len(bases)-1]+"/v1/services/grants/x", f.Keys["citizens"], "before", http.StatusOK)
	}
	cut := f.Platform.Layout.Zones[2].Zone
	if err := f.Platform.Network.Isolate(cut, standin.RelayFaults{Hang: true}); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		for _, base := range bases {
			do(t, http.MethodPost, base+"/v1/services/grants/x", f.Keys["citizens"], "during", http.StatusOK)
		}
	}
	if err := f.Platform.Network.Isolate(cut, standin.RelayFaults{}); err != nil {
		t.Fatal(err)
	}
	for _, m := range f.Hosts() {
		job := submit(t, f, m, "crafts", `{"kind":"batch","need":{"milli_cpu":1000},"run":"10ms"}`)
		if reply := await(t, f, m, "crafts", job); reply.Outcome != "ran" {
			t.Errorf("job in zone %s after the cut: %+v", m.Zone, reply)
		}
	}
	checkAudit(t, f)
}

// A peer is cut off when its last word is still young. A host without workers
// must not send it what its callers ask: they would wait until their deadline
// and be told "unknown" of a call that never ran.
func TestCutOffPeerIsSentNothing(t *testing.T) {
	layout := standin.Rosenau()
	layout.Zones = []standin.ZoneLayout{{Zone: "a", Hosts: 1}, {Zone: "b", Workers: 2, Hosts: 1}}
	layout.HostLag = 100 * time.Millisecond
	f, err := localfleet.Start(context.Background(), localfleet.Options{Layout: layout, Adjust: func(s *settings.Settings) {
		s.Limits.RequestTimeout = 3 * time.Second // for what waits in vain for a worker
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	scheduler(t, f, "b")
	base := "http://" + scheduler(t, f, "a").Host.APIAddr()
	request, jobs := base+"/v1/services/grants/x", base+"/v1/jobs"
	const spec = `{"kind":"batch","need":{"milli_cpu":1000},"run":"10ms"}`
	key := f.Keys["citizens"]
	remote := keyOfZone(t, jobs, key, spec, "b")
	for _, call := range []struct{ url, idempotency, body string }{
		{request, "", "during"},
		{request, remote, "during"},
		{jobs, remote, spec},
	} {
		do(t, http.MethodPost, request, key, "before", http.StatusOK)
		postUntil(t, jobs, key, remote, spec)
		if err := f.Platform.Network.Isolate("b", standin.RelayFaults{Hang: true}); err != nil {
			t.Fatal(err)
		}
		if status, data := post(t, call.url, key, call.idempotency, call.body); !bytes.Contains(data, []byte(`"not run"`)) {
			t.Errorf("%s with key %q: status %d: %s", call.url, call.idempotency, status, data)
		}
		if err := f.Platform.Network.Isolate("b", standin.RelayFaults{}); err != nil {
			t.Fatal(err)
		}
	}
	checkAudit(t, f)
}

// keyOfZone returns an idempotency key whose home is the given zone.
func keyOfZone(t *testing.T, jobs, key, spec string, zone ident.Zone) string {
	t.Helper()
	for n := range 32 {
		idempotency := fmt.Sprint("key ", n)
		if job := postUntil(t, jobs, key, idempotency, spec).Job; strings.HasPrefix(job, string(zone)+".") {
			return idempotency
		}
	}
	t.Fatalf("no key has its home in zone %s", zone)
	return ""
}

// postUntil submits a job under an idempotency key until it is accepted.
func postUntil(t *testing.T, jobs, key, idempotency, spec string) jobReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if status, data := post(t, jobs, key, idempotency, spec); status < http.StatusBadRequest {
			return parseJob(t, data)
		}
		time.Sleep(retryPause)
	}
	t.Fatalf("no job was accepted with key %q", idempotency)
	return jobReply{}
}

// post sends a body under an idempotency key, or under none if it is empty.
func post(t *testing.T, url, key, idempotency, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotency)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, data
}

// An operator withdraws a key while its team sends requests to every host. No
// host may accept the key once the change is in force, and other teams go on.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	f := start(t, fourZones())
	for _, m := range f.Hosts() {
		do(t, http.MethodPost, "http://"+m.Host.APIAddr()+"/v1/services/grants/x", f.Keys["reports"], "before", http.StatusOK)
	}
	if err := f.WithdrawKey("reports"); err != nil {
		t.Fatal(err)
	}
	for _, m := range f.Hosts() {
		base := "http://" + m.Host.APIAddr() + "/v1/services/grants/x"
		untilStatus(t, base, f.Keys["reports"], http.StatusUnauthorized)
		do(t, http.MethodPost, base, f.Keys["citizens"], "after", http.StatusOK)
	}
}

// untilStatus repeats a request until it gets a status, and then checks that
// the status stays.
func untilStatus(t *testing.T, url, key string, want int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for status := 0; status != want; {
		if ctx.Err() != nil {
			t.Fatalf("%s: still status %d, want %d", url, status, want)
		}
		status, _ = once(ctx, t, http.MethodPost, url, key, "x")
	}
	for range 20 {
		if status, data := once(ctx, t, http.MethodPost, url, key, "x"); status != want {
			t.Fatalf("%s: back to status %d: %s", url, status, data)
		}
	}
}

// A worker fails everything it is sent. Being idle it looks attractive; callers
// of idempotent requests must get their answers from the others all the same.
func TestFailingWorkerIsAvoided(t *testing.T) {
	f := start(t, smallLayout())
	m := f.Hosts()[0]
	url := "http://" + m.Host.APIAddr() + "/v1/services/grants/x"
	do(t, http.MethodGet, url, f.Keys["citizens"], "", http.StatusOK)
	f.Platform.Workers[0].State.SetFaults(f.Platform.Now(), standin.WorkerFaults{FailAll: true})
	failed := 0
	const calls = 200
	for range calls {
		status, _ := once(context.Background(), t, http.MethodGet, url, f.Keys["citizens"], "")
		if status != http.StatusOK {
			failed++
		}
	}
	if failed > calls/10 {
		t.Errorf("%d of %d calls failed while one of four workers fails everything", failed, calls)
	}
}
