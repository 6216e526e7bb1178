// Package resource represents the resources that workers provide and tasks
// need. Amounts are integers, so reservations and releases cause no rounding
// errors.
package resource

import (
	"fmt"
	"strings"
)

// Vector is an amount of each resource. MilliCPU is in thousandths of a core
// and MemoryMiB in MiB; the others are counts.
type Vector struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Slots        int64 `json:"slots,omitempty"`
	Connections  int64 `json:"connections,omitempty"`
}

// Request is the amount that one request uses on a worker while it is in
// flight.
var Request = Vector{Slots: 1, Connections: 1}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU + o.MilliCPU,
		MemoryMiB:    v.MemoryMiB + o.MemoryMiB,
		Accelerators: v.Accelerators + o.Accelerators,
		Slots:        v.Slots + o.Slots,
		Connections:  v.Connections + o.Connections,
	}
}

// Sub returns v - o. Components may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU - o.MilliCPU,
		MemoryMiB:    v.MemoryMiB - o.MemoryMiB,
		Accelerators: v.Accelerators - o.Accelerators,
		Slots:        v.Slots - o.Slots,
		Connections:  v.Connections - o.Connections,
	}
}

// Times returns v * n.
func (v Vector) Times(n int64) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU * n,
		MemoryMiB:    v.MemoryMiB * n,
		Accelerators: v.Accelerators * n,
		Slots:        v.Slots * n,
		Connections:  v.Connections * n,
	}
}

// Fits reports whether v is at most available in every component.
func (v Vector) Fits(available Vector) bool {
	return v.MilliCPU <= available.MilliCPU &&
		v.MemoryMiB <= available.MemoryMiB &&
		v.Accelerators <= available.Accelerators &&
		v.Slots <= available.Slots &&
		v.Connections <= available.Connections
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Negative reports whether any component is below zero.
func (v Vector) Negative() bool {
	return v.MilliCPU < 0 || v.MemoryMiB < 0 || v.Accelerators < 0 || v.Slots < 0 || v.Connections < 0
}

// Dominant returns the dominant share of v, as in dominant resource fairness:
// the largest fraction of total that v uses in any component. It is between 0
// and 1 if v fits total. Components that are zero or less in total are ignored.
func (v Vector) Dominant(total Vector) float64 {
	share := 0.0
	for _, pair := range [...][2]int64{
		{v.MilliCPU, total.MilliCPU},
		{v.MemoryMiB, total.MemoryMiB},
		{v.Accelerators, total.Accelerators},
		{v.Slots, total.Slots},
		{v.Connections, total.Connections},
	} {
		if pair[1] <= 0 {
			continue
		}
		share = max(share, float64(pair[0])/float64(pair[1]))
	}
	return share
}

const milliPerCPU = 1000

// LimitUnits returns how many units of a team's upper limit a task that needs v
// uses while it runs: its cores, rounded up, and at least one. A request uses
// one unit.
func LimitUnits(v Vector) int64 {
	return max(1, (v.MilliCPU+milliPerCPU-1)/milliPerCPU)
}

// String returns the non-zero components with their units, separated by commas,
// or "nothing" if all are zero.
func (v Vector) String() string {
	var parts []string
	add := func(n int64, unit string) {
		if n != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, unit))
		}
	}
	add(v.MilliCPU, "milli-cpu")
	add(v.MemoryMiB, "MiB")
	add(v.Accelerators, "accelerators")
	add(v.Slots, "slots")
	add(v.Connections, "connections")
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
