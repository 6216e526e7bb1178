package region

import "time"

// departed keeps the fenceSteps of workers that have left and been removed, and for reports what is
// known of the contact to them.
//
// The guard is against a probe that is executed late, after its worker has left, was
// removed and has come back under the same id. If the count began at zero again, the new
// incarnation would have the fencing token of the earlier one, and the probe would
// acknowledge ends that were never read. The count is kept for longer than a call can be
// late.
type departed struct {
	byID  map[string]departure
	queue []string // ids in the order of departure
}

type departure struct {
	fenceSteps int64
	at         time.Duration
	contact    contact
}

func (d *departed) add(id string, fenceSteps int64, c contact, now time.Duration) {
	if d.byID == nil {
		d.byID = make(map[string]departure)
	}
	d.byID[id] = departure{fenceSteps: fenceSteps, at: now, contact: c}
	d.queue = append(d.queue, id)
}

// fenceSteps returns the kept count of a worker, or 0 if there is none.
func (d *departed) fenceSteps(id string) int64 { return d.byID[id].fenceSteps }

// contact returns what is known of the contact to a worker.
func (d *departed) contact(id string) *contact {
	c := d.byID[id].contact
	return &c
}

func (d *departed) expire(now time.Duration) {
	n := 0
	for ; n < len(d.queue); n++ {
		left, known := d.byID[d.queue[n]]
		if known && now-left.at < departedRetention {
			break
		}
		delete(d.byID, d.queue[n])
	}
	d.queue = d.queue[n:]
}

// departedRetention is how long a count is kept: longer than any call can be late.
const departedRetention = time.Minute
