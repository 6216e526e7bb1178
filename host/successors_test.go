package host

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/succession"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// Guards against a small host that leads after a change of leader and the loss of the new one: it
// was the first to ping the new one, which named it as its only successor. It took five seconds
// to load over its narrow link, in which nothing was started.
func TestNewLeaderNamesNoSmallSuccessors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	text := "node=h1\nzone=z1\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\nplatform.address=127.0.0.1:4\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	h := New(s, telemetry.Discard())
	h.election.leadership = leader.New(h.leaderConfig(1))
	ping := func(name string, c succession.Capacity) []string {
		resp, err := h.Ping(context.Background(), newRequest(&hostrpc.PingRequest{
			Host: name, Address: name, MilliCpu: c.MilliCPU, LinkBps: c.LinkBps, MemoryMib: c.MemoryMiB,
		}))
		if err != nil {
			t.Fatal(err)
		}
		return resp.Msg.Successors
	}
	if got := ping("small", succession.Capacity{MilliCPU: 100, LinkBps: 1e6, MemoryMiB: 100}); len(got) > 0 {
		t.Errorf("successors %v after the ping of a small host, want none", got)
	}
	if got, want := ping("equal", h.capacity()), []string{"equal"}; !slices.Equal(got, want) {
		t.Errorf("successors %v after the ping of an equal host, want %v", got, want)
	}
	e := newElection(h)
	e.applyPingResponse(&hostrpc.PingResponse{Successors: []string{"equal"}})
	e.applyPingResponse(&hostrpc.PingResponse{})
	if want := []string{"equal"}; !slices.Equal(e.successors, want) {
		t.Errorf("successors %v, want %v, as the leader before has named them", e.successors, want)
	}
}
