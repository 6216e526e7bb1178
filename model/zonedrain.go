package model

import (
	"slices"
	"time"
)

// ZoneDrains is what a host knows of the availability zones that operators drain. It is
// not changed once it has been passed on.
type ZoneDrains struct {
	Zones       []string      // zones in which no task may start, sorted
	ConfirmedAt time.Duration // send time, on the host's clock, of the newest read that found these to be all
}

// Contains reports whether the zone is drained.
func (d ZoneDrains) Contains(zone string) bool {
	_, found := slices.BinarySearch(d.Zones, zone)
	return found
}
