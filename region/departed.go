package region

import "time"

// departed remembers how many lives were counted of workers that have been forgotten.
//
// The guard is against a look that is carried out late, when its worker has left, was
// forgotten and is back under the same id: counted from zero again, the fencing token of the
// new life would be that of the earlier one, and the look would take note of ends that
// nobody has read. It lasts as long as a call may be late.
type departed struct {
	byID  map[string]departure
	queue []string // in the order they left
}

type departure struct {
	lives int64
	at    time.Duration
}

func (d *departed) add(id string, lives int64, now time.Duration) {
	if d.byID == nil {
		d.byID = make(map[string]departure)
	}
	d.byID[id] = departure{lives: lives, at: now}
	d.queue = append(d.queue, id)
}

// lives returns how many lives a worker has had, as far as is remembered.
func (d *departed) lives(id string) int64 { return d.byID[id].lives }

func (d *departed) expire(now time.Duration) {
	n := 0
	for ; n < len(d.queue); n++ {
		left, known := d.byID[d.queue[n]]
		if known && now-left.at < departedFor {
			break
		}
		delete(d.byID, d.queue[n])
	}
	d.queue = d.queue[n:]
}

// departedFor is how long a worker is remembered: longer than any call is late.
const departedFor = time.Minute
