package processes_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Exit codes of the commands.
const (
	exitDone        = 0
	exitRefused     = 3
	exitUnknown     = 4
	exitUnreachable = 5
)

// change plans with the flags given and confirms the plan, as an operator
// does. It returns the new key, if the plan gives one, and the offset from
// which the change is in force.
func (c *cluster) change(t *testing.T, args ...string) (key string, offset uint64) {
	t.Helper()
	var plan struct{ Key, File string }
	c.repeat(t, &plan, args...)
	var confirmed admin.Confirmation
	c.repeat(t, &confirmed, "confirm", "--json", plan.File)
	return plan.Key, uint64(confirmed.Offset)
}

// repeat runs a command until it is neither refused nor unanswered, and reads
// its answer.
func (c *cluster) repeat(t *testing.T, answer any, args ...string) {
	t.Helper()
	until(t, fmt.Sprintf("fireflyfold %v is carried out", args), func() bool {
		out, code := c.cli(t, args...)
		switch code {
		case exitDone:
		case exitRefused, exitUnknown, exitUnreachable:
			return false
		default:
			t.Fatalf("fireflyfold %v: exit code %d", args, code)
		}
		if err := json.Unmarshal(out, answer); err != nil {
			t.Fatalf("fireflyfold %v: %v: %s", args, err, out)
		}
		return true
	})
}

// configure gives every team its limit and a key.
func (c *cluster) configure(t *testing.T) {
	t.Helper()
	for _, team := range teams {
		c.change(t, "plan", "--json", "--team", team, "--share", "1", "--limit", fmt.Sprint(teamLimit))
		c.keys[team], _ = c.change(t, "plan", "--json", "--give-key", team)
	}
}

// statuses lists the hosts as the first that answers sees them.
func (c *cluster) statuses(t *testing.T) map[string]admin.HostStatus {
	t.Helper()
	var list []admin.HostStatus
	c.repeat(t, &list, "hosts", "--json")
	byID := map[string]admin.HostStatus{}
	for _, status := range list {
		byID[string(status.Host)] = status
	}
	return byID
}

// scheduler returns the host that schedules a zone, and the zone's other host.
func (c *cluster) scheduler(t *testing.T, zone string) (leader, peer *host) {
	t.Helper()
	until(t, "a host schedules "+zone, func() bool {
		leader, peer = nil, nil
		statuses := c.statuses(t)
		for _, h := range c.hosts {
			switch {
			case h.zone != zone:
			case statuses[h.id].Scheduler && statuses[h.id].State == "live":
				leader = h
			default:
				peer = h
			}
		}
		return leader != nil
	})
	return leader, peer
}

// fault switches a fault of the stand-in; the zero value switches it off.
func (c *cluster) fault(t *testing.T, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, c.admin+"/faults/"+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		t.Fatalf("fault %s: %s", path, res.Status)
	}
}

// audited reads from the stand-in's audit.
func audited[T any](t *testing.T, c *cluster, path string) T {
	t.Helper()
	var value T
	res, err := http.Get(c.admin + "/audit" + path)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&value); err != nil {
		t.Fatalf("audit%s: %s: %v", path, res.Status, err)
	}
	return value
}

// check fails the test if the workers saw a broken promise.
func (c *cluster) check(t *testing.T) {
	t.Helper()
	counts := audited[standin.Counts](t, c, "")
	if counts.Doubled != 0 || counts.Overlapped != 0 || counts.OverCapacity != 0 {
		t.Errorf("doubled %d, overlapped %d, over capacity %d; want none", counts.Doubled, counts.Overlapped, counts.OverCapacity)
	}
	if counts.Starts == 0 {
		t.Error("the audit saw nothing")
	}
	for _, team := range teams {
		if units := audited[standin.Units](t, c, "/units?team="+team); units.Peak > teamLimit || units.Peak == 0 {
			t.Errorf("team %s had %d units running at once, want 1 to %d", team, units.Peak, teamLimit)
		}
	}
}
