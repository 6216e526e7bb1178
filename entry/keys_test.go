package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/work"
)

// Strangers try keys: none, misspelt ones, an operator's token, another
// scheme. Nothing may run, and the answer must not repeat what was tried.
func TestWrongKeysRefused(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	c.untilServed(t)
	valid := c.key
	for _, auth := range []string{
		"", "Bearer", "Bearer ", "Basic " + valid, valid, "Bearer " + valid + "x", "Bearer " + valid[:len(valid)-1],
		"Bearer " + strings.ToUpper(valid), "Bearer  " + valid, "Bearer " + localfleet.OperatorToken, "Bearer ffk__", "Bearer " + strings.Repeat("k", 3000),
	} {
		for _, path := range []string{"/v1/services/grants/x", "/v1/jobs"} {
			r := c.do(t, http.MethodPost, path, goodJob, header{"Authorization", auth})
			p := r.refused(t, problem.TypeUnauthorized)
			if r.header.Get("WWW-Authenticate") == "" {
				t.Errorf("%q: no WWW-Authenticate", auth)
			}
			if len(auth) > 20 && strings.Contains(p.Detail, auth[10:]) {
				t.Errorf("the answer repeats the key: %s", p.Detail)
			}
		}
	}
	if r := c.do(t, http.MethodGet, "/v1/admin/status", ""); r.status != http.StatusUnauthorized {
		t.Errorf("a team's key opens the operators' interface: status %d", r.status)
	}
	if r := c.do(t, http.MethodPost, "/v1/services/grants/x", "x", header{"Authorization", "bearer " + valid}); r.status != http.StatusOK {
		t.Errorf("the scheme's case counts: status %d: %s", r.status, r.body)
	}
	if calls := f.Platform.Audit.Counts().Calls; calls != 2 {
		t.Errorf("%d calls ran, want 2", calls)
	}
}

// A key is withdrawn while its team keeps its connection open and goes on. The
// connection must be worth no more than the key.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	f := startFleet(t, localfleet.Options{})
	c := callerOf(f, team)
	c.untilServed(t)
	conn := c.dial(t)
	ask := func() reply {
		send(t, conn, "POST /v1/services/grants/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", c.key)
		return receive(t, conn)
	}
	if r := ask(); r.status != http.StatusOK {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	if err := f.WithdrawKey(teamID(team)); err != nil {
		t.Fatal(err)
	}
	until(t, "the withdrawn key is refused", func() bool { return ask().status == http.StatusUnauthorized })
	calls := f.Platform.Audit.Counts().Calls
	for range 20 {
		ask().refused(t, problem.TypeUnauthorized)
	}
	if after := f.Platform.Audit.Counts().Calls; after != calls {
		t.Errorf("%d calls ran with a withdrawn key", after-calls)
	}
}

// An approval is sent with an idempotency key, and again because the caller is
// not sure. The upstream must see it once, the repeat must say that it ran, and
// the same key on another approval must be refused as not run.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	layout := oneHost()
	layout.Zones[0].Hosts = 2
	f := startFleet(t, localfleet.Options{Layout: layout})
	var callers []caller
	for _, m := range f.Hosts() {
		c := callerOf(f, team)
		c.base = "http://" + m.Host.APIAddr()
		c.untilServed(t)
		callers = append(callers, c)
	}
	before := f.Platform.Audit.Counts().Calls
	const keys = 10
	for n := range keys {
		key := header{"Idempotency-Key", fmt.Sprint("approval-", n)}
		first := callers[n%2].settled(t, http.MethodPost, "/v1/services/grants/approve", "stairlift", key)
		if first.status != http.StatusOK {
			t.Fatalf("status %d: %s", first.status, first.body)
		}
		for _, c := range callers {
			until(t, "the repeat is told that the first use ran", func() bool {
				p := c.settled(t, http.MethodPost, "/v1/services/grants/approve", "stairlift", key).problem(t)
				if p.Outcome == work.OutcomeNotRun {
					t.Fatalf("a repeat of what ran: %+v", p)
				}
				return p.Type == problem.TypeRepeated && p.Outcome == work.OutcomeRan && p.Status == http.StatusConflict
			})
			c.settled(t, http.MethodPost, "/v1/services/grants/approve", "ramp", key).refused(t, problem.TypeConflict)
			c.settled(t, http.MethodPost, "/v1/services/grants/reject", "stairlift", key).refused(t, problem.TypeConflict)
		}
		task := strings.TrimPrefix(strings.SplitN(string(first.body), "\n", 2)[0], "task ")
		if runs := f.Platform.Audit.Runs(task); runs != 1 {
			t.Errorf("%s ran %d times", task, runs)
		}
	}
	if ran := f.Platform.Audit.Counts().Calls - before; ran != keys {
		t.Errorf("%d calls ran for %d approvals", ran, keys)
	}
}
