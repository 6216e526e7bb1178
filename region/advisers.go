package region

import "time"

const (
	// leastBacklog and backlogShare bound the advice that a host may have been
	// asked for when a further call joins: leastBacklog, or backlogShare of the
	// call's own length if that is longer. What waits here can still be put
	// behind something more urgent; what waits at the service cannot.
	leastBacklog = 60 * time.Millisecond
	backlogShare = 1.2
)

// advisers spreads calls for advice over hosts: the service answers one call
// at a time for each.
type advisers struct {
	hosts []*adviser
}

type adviser struct {
	name    string
	backlog time.Duration // length of the calls under way
	badTo   time.Duration
}

func (a *advisers) set(names []string) {
	known := make(map[string]*adviser, len(a.hosts))
	for _, h := range a.hosts {
		known[h.name] = h
	}
	a.hosts = a.hosts[:0:0]
	for _, n := range names {
		h, ok := known[n]
		if !ok {
			h = &adviser{name: n}
		}
		a.hosts = append(a.hosts, h)
	}
}

// pick returns the host with the shortest backlog of those that may take a call
// of that queue and length, or nil if none has a backlog that is short enough.
func (a *advisers) pick(l lanes, queue string, cost, now time.Duration) *adviser {
	var best *adviser
	for _, h := range a.hosts[l.first(queue, len(a.hosts)):] {
		if now >= h.badTo && (best == nil || h.backlog < best.backlog) {
			best = h
		}
	}
	limit := max(leastBacklog, time.Duration(backlogShare*float64(cost)))
	if best == nil || best.backlog > limit {
		return nil
	}
	return best
}

func (a *advisers) answered(name string, cost time.Duration) {
	if h := a.find(name); h != nil {
		h.backlog = max(0, h.backlog-cost)
	}
}

// adviserPause is how long a host that failed to get advice counts as busy.
const adviserPause = time.Second

func (a *advisers) failed(name string, now time.Duration) {
	if h := a.find(name); h != nil {
		h.badTo = now + adviserPause
	}
}

func (a *advisers) find(name string) *adviser {
	for _, h := range a.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
