package fleet

import (
	"hash/fnv"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
)

// ZoneReplicas returns how many replicas of the service a zone keeps. The
// replicas are split evenly over the configured zones, and the service's name
// decides which zones take one more, so that small services do not all land in
// the same zone. Every zone can work out its number alone, also when it is cut
// off. zones may be in any order.
func (v Service) ZoneReplicas(zone ident.Zone, zones []ident.Zone) int {
	order := slices.Sorted(slices.Values(zones))
	i := slices.Index(order, zone)
	if i < 0 {
		return 0
	}
	hash := fnv.New32a()
	hash.Write([]byte(v.ID))
	first := int(hash.Sum32() % uint32(len(order)))
	turn := (i - first + len(order)) % len(order)
	n := v.Replicas / len(order)
	if turn < v.Replicas%len(order) {
		n++
	}
	return n
}
