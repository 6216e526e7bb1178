package sched

import "github.com/fireflyfold/fireflyfold/resource"

// load is an amount of waiting work, in resource-seconds: milli-CPU, MiB and
// accelerators, each times seconds.
type load struct {
	cpu, memory, accelerators float64
}

func loadOf(need resource.Vector, seconds float64) load {
	return load{
		cpu:          float64(need.MilliCPU) * seconds,
		memory:       float64(need.MemoryMiB) * seconds,
		accelerators: float64(need.Accelerators) * seconds,
	}
}

func (l load) add(o load) load {
	return load{l.cpu + o.cpu, l.memory + o.memory, l.accelerators + o.accelerators}
}

func (l load) sub(o load) load {
	return load{l.cpu - o.cpu, l.memory - o.memory, l.accelerators - o.accelerators}
}

func (l load) times(factor float64) load {
	return load{l.cpu * factor, l.memory * factor, l.accelerators * factor}
}

// secondsOn returns the seconds that a zone with the total resources needs for
// the work, by the resource that takes longest.
func (l load) secondsOn(total resource.Vector) float64 {
	longest := 0.0
	for _, pair := range [...][2]float64{
		{l.cpu, float64(total.MilliCPU)},
		{l.memory, float64(total.MemoryMiB)},
		{l.accelerators, float64(total.Accelerators)},
	} {
		if pair[1] > 0 {
			longest = max(longest, pair[0]/pair[1])
		}
	}
	return longest
}
