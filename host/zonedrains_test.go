package host

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform"
)

func (f *testRegion) drain(zone string) {
	f.store.Put(platform.TopicOperators, "evacuate/"+zone, []byte("{}"))
}
func (f *testRegion) takeBack(zone string) {
	f.store.Put(platform.TopicOperators, "evacuate/"+zone, nil)
}

// drained reports whether the host has confirmed that exactly these zones are drained.
func (m *testHost) drained(zones ...string) bool {
	d := m.config.drains.get()
	return d != nil && slices.Equal(d.Zones, zones)
}

// A task is not started on a worker of a drained zone, and is started once the zone is taken
// back.
func TestNoStartInDrainedZone(t *testing.T) {
	f := newTestRegion(t, 2, 1, 50*time.Millisecond)
	f.drain("z1")
	f.waitUntil("the drain is known", func() bool { return f.hosts[0].drained("z1") && f.hosts[1].drained("z1") })
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	read := f.leader().endpoint.Calls("log-read")
	f.waitUntil("the leader has read on", func() bool { return f.leader().endpoint.Calls("log-read") > read+4 })
	if n := len(f.starts()); n != 0 {
		t.Errorf("%d tasks started in the drained zone", n)
	}
	f.takeBack("z1")
	f.waitUntil("the job is completed", func() bool { return f.completed(f.hosts[0], 1) })
}

// A zone is taken back while a host cannot read the log, and the log drops its history: no record
// is left that says so. The host must not go on taking the zone for drained.
func TestZoneTakenBackWhileHistoryIsDropped(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	f.drain("z1")
	f.drain("z2")
	f.waitUntil("both drains are known", func() bool { return m.drained("z1", "z2") })
	m.endpoint.Refuse(true)
	f.waitUntil("no read of the log is in flight", func() bool { return m.config.LogReadAge() > 2*configWait })
	f.takeBack("z1")
	f.store.Expire(platform.TopicOperators)
	m.endpoint.Refuse(false)
	f.waitUntil("only the other zone is drained", func() bool { return m.drained("z2") })
}

// Guards against hosts that cannot tell each other which zones are drained, nor the configuration, as
// the key of a record of the operators' topic is not UTF-8.
func TestOddKeyInOperatorsTopic(t *testing.T) {
	f := newTestRegion(t, 2, 1, 50*time.Millisecond)
	for _, key := range []string{"evacuate/\xff\xfe", "evacuate/", "", "\xff", "config\x00"} {
		f.store.Put(platform.TopicOperators, key, []byte("\xff{"))
	}
	m, other := f.hosts[0], f.hosts[1]
	m.endpoint.Refuse(true)
	f.waitUntil("no read of the log is in flight", func() bool { return m.config.LogReadAge() > 2*configWait })
	f.configure(7, "k1", "k7")
	f.drain("z9")
	f.waitUntil("the other host knows the drain", func() bool { return slices.Contains(other.zonesDrained(), "z9") })
	f.waitUntil("the host knows it through the other one", func() bool { return slices.Contains(m.zonesDrained(), "z9") })
	f.waitUntil("the host knows the configuration through the other one", func() bool {
		c := m.config.Config()
		return c != nil && c.Version == 7
	})
}

// zonesDrained returns the zones that the host has confirmed as drained.
func (m *testHost) zonesDrained() []string {
	d := m.config.drains.get()
	if d == nil {
		return nil
	}
	return d.Zones
}

// The log refuses one host, which must learn through another one which zones are drained.
func TestDrainIsKnownWhileLogRefusesHost(t *testing.T) {
	f := newTestRegion(t, 3, 1, 50*time.Millisecond)
	f.waitUntil("all hosts know others", func() bool {
		for _, m := range f.hosts {
			if m != f.leader() && len(m.election.otherHosts(1)) == 0 {
				return false
			}
		}
		return f.leader() != nil
	})
	refused := f.lastOther(f.leader())
	refused.endpoint.Refuse(true)
	f.waitUntil("no read of the log is in flight", func() bool { return refused.config.LogReadAge() > 2*configWait })
	f.drain("z1")
	f.waitUntil("the refused host knows", func() bool { return refused.drained("z1") })
	f.takeBack("z1")
	f.waitUntil("the refused host knows that it is over", func() bool { return refused.drained() })
}

// A record that names no zone is rejected; the other zones and the configuration hold.
func TestDrainWithoutZoneIsRejected(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	f.drain("")
	f.drain("z9")
	f.configure(2, "k1")
	f.waitUntil("the later records hold", func() bool { return m.drained("z9") && m.config.Config().Version == 2 })
}
