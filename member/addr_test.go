package member

import (
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// The list says that a host is reached through a relay between two zones; the
// host knows itself by another address. Calls must go on through the relay, or
// a cut of the relay would not be seen as one. When the host comes back
// elsewhere, its own word counts until the list follows.
func TestListedAddressIsCalled(t *testing.T) {
	w := newWorld(t, "a")
	list := func(addr string) {
		w.step(ListRead{Listing: ports.Listing{Hosts: []ports.HostEntry{
			{Host: "b", Zone: testZone, Addr: addr, State: ports.StateLive},
		}}})
	}
	var seq uint64
	hear := func(life ident.Incarnation, addr string) {
		seq++
		w.step(DigestReceived{Digest: Digest{Holder: ident.Holder{Host: "b", Incarnation: life}, Zone: testZone, Addr: addr, Seq: seq}})
	}
	want := func(when, addr string) {
		t.Helper()
		if got := w.m.hosts["b"].addr; got != addr {
			t.Errorf("%s: called at %s, want %s", when, got, addr)
		}
	}
	hear(1, "own:1")
	want("heard before it is listed", "own:1")
	list("relay:1")
	want("listed", "relay:1")
	hear(1, "own:1")
	want("heard again", "relay:1")
	hear(2, "own:2")
	want("moved", "own:2")
	list("relay:1")
	want("the list lags", "own:2")
	list("relay:2")
	want("the list has followed", "relay:2")
	hear(2, "own:2")
	want("heard after that", "relay:2")
}
