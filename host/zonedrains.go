package host

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
)

// zoneDrains follows which availability zones the operators drain. Only the goroutine of
// configWatch changes it.
type zoneDrains struct {
	log     *logrus.Entry
	metrics tally.Scope

	drained map[string]bool // by zone, as of the newest record read
	known   atomic.Pointer[model.ZoneDrains]
}

// get returns the newest confirmed set, or nil before the first one. Each confirmation
// returns a new pointer.
func (d *zoneDrains) get() *model.ZoneDrains { return d.known.Load() }

// replaceAll begins a new set, which the records of a whole reading of the topic fill. A
// zone that is taken back while the log drops its history has no record that says so.
func (d *zoneDrains) replaceAll() { d.drained = make(map[string]bool) }

// apply applies a record of the operators' topic. It ignores records that drain no zone.
func (d *zoneDrains) apply(key string, value []byte) {
	zone, ok, err := platform.ParseZoneDrainKey(key)
	if err != nil {
		d.log.WithError(err).Error("zone drain rejected")
		return
	}
	if ok {
		d.drained[zone] = len(value) > 0
	}
}

// confirm publishes the set, as all that a reading of the topic sent at a time has found.
func (d *zoneDrains) confirm(sent time.Duration) {
	var zones []string
	for zone, drained := range d.drained {
		if drained {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	d.publish(model.ZoneDrains{Zones: zones, ConfirmedAt: sent})
}

// confirmedByPeer publishes the set of another host, unless this host's own is newer. It
// reports whether the set is not the one that this host has read: the records between are
// then read again.
func (d *zoneDrains) confirmedByPeer(peer model.ZoneDrains) (changed bool) {
	own := d.get()
	if own != nil && own.ConfirmedAt >= peer.ConfirmedAt {
		return false
	}
	changed = own == nil || !slices.Equal(own.Zones, peer.Zones)
	d.publish(peer)
	return changed
}

// publish stores a set and logs the zones that it adds and removes.
func (d *zoneDrains) publish(next model.ZoneDrains) {
	var before model.ZoneDrains
	if known := d.get(); known != nil {
		before = *known
	}
	for _, zone := range next.Zones {
		if !before.Contains(zone) {
			d.changed("zone drain begins", zone)
		}
	}
	for _, zone := range before.Zones {
		if !next.Contains(zone) {
			d.changed("zone drain ends", zone)
		}
	}
	d.known.Store(&next)
	d.metrics.Gauge("zones_drained").Update(float64(len(next.Zones)))
}

func (d *zoneDrains) changed(what, zone string) {
	d.metrics.Counter("zone_drain_changes").Inc(1)
	d.log.WithField("zone", zone).Info(what)
}

// ageOf returns how long ago a set was confirmed.
func ageOf(d *model.ZoneDrains) time.Duration { return boottime.Now() - d.ConfirmedAt }
