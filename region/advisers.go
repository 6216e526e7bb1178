package region

import (
	"slices"
	"time"
)

const (
	// leastBacklog and backlogShare bound the advice that a host may have been
	// asked for when a further call joins: leastBacklog, or backlogShare of the
	// call's own length if that is longer. What waits here can still be put
	// behind something more urgent; what waits at the service cannot.
	leastBacklog = 60 * time.Millisecond
	backlogShare = 1.2
	// adviceSlack is how much longer than expected a call for advice may take.
	adviceSlack = 1500 * time.Millisecond
	// adviserPause is how long a host is not asked after a call that failed.
	adviserPause = time.Second
)

// advisers spreads calls for advice over hosts.
type advisers struct {
	hosts []*adviser
	away  map[string]*adviser // not listed any more, while they matter
}

// adviser is a host's queue at the advice service, which works on the calls of a host in
// turn, also on those that the host has given up.
//
// The guard is against a queue that never drains: if a call that runs out of its time no
// longer counted, the next one would be sent behind it, and run out of its time as well. It
// shows as calls that fail at a steady rate while work with advice waits and workers are
// free.
type adviser struct {
	name     string
	calls    []adviceCall  // that the service may still work on, oldest first
	freeAt   time.Duration // when it is through with them, as far as is known
	pausedTo time.Duration // not asked before, after a call that failed
}

// adviceCall is one call under way, or given up.
type adviceCall struct {
	step    adviceStep
	cost    time.Duration
	givenUp bool
}

// adviceStep names the step that a call is about.
type adviceStep struct {
	job              string
	occurrence, step int32
}

func (c Advise) about() adviceStep { return adviceStep{c.Job, c.Occurrence, c.Step} }

// set takes the hosts that can be asked. What is known of one that is not listed for a while
// is kept: the service goes on with its calls.
func (a *advisers) set(names []string, now time.Duration) {
	known := a.away
	a.away = make(map[string]*adviser)
	for name, h := range known {
		if h.matters(now) {
			a.away[name] = h
		}
	}
	for _, h := range a.hosts {
		a.away[h.name] = h
	}
	a.hosts = a.hosts[:0:0]
	for _, name := range names {
		h, ok := a.away[name]
		if !ok {
			h = &adviser{name: name}
		}
		delete(a.away, name)
		a.hosts = append(a.hosts, h)
	}
}

// matters reports whether the host's queue is to be remembered while it is not listed.
func (h *adviser) matters(now time.Duration) bool {
	return now < h.freeAt || now < h.pausedTo
}

// backlog is how long the service may work on what the host was asked for. A call under way
// counts in full: when the service began with it is not known.
func (h *adviser) backlog(now time.Duration) time.Duration {
	var underWay time.Duration
	for _, c := range h.calls {
		if !c.givenUp {
			underWay += c.cost
		}
	}
	return max(underWay, h.freeAt-now)
}

// takes reports whether a call of that length may join now.
func (h *adviser) takes(cost, now time.Duration) bool {
	return now >= h.pausedTo && h.backlog(now) <= max(leastBacklog, time.Duration(backlogShare*float64(cost)))
}

// pick returns the host with the shortest backlog of those that may take a call
// of that queue and length, or nil if none has a backlog that is short enough.
func (a *advisers) pick(l adviceTiers, queue string, cost, now time.Duration) *adviser {
	var best *adviser
	for _, h := range a.hosts[l.firstHost(queue, len(a.hosts)):] {
		if h.takes(cost, now) && (best == nil || h.backlog(now) < best.backlog(now)) {
			best = h
		}
	}
	return best
}

// ask counts a call, and returns how long its answer may take.
func (h *adviser) ask(step adviceStep, cost, now time.Duration) time.Duration {
	if h.freeAt <= now {
		h.calls = slices.DeleteFunc(h.calls, func(c adviceCall) bool { return c.givenUp })
	}
	h.freeAt = max(h.freeAt, now) + cost
	h.calls = append(h.calls, adviceCall{step: step, cost: cost})
	return h.backlog(now) + adviceSlack
}

// answered notes that the service is through with a call, and so with those before it.
func (a *advisers) answered(name string, step adviceStep, now time.Duration) {
	h, at := a.find(name, step)
	if at < 0 {
		return
	}
	h.calls = h.calls[at+1:]
	h.freeAt = now + h.left(0)
}

// unanswered notes that a call ran out of its time. The service may only be about to begin
// with it.
func (a *advisers) unanswered(name string, step adviceStep, now time.Duration) {
	h, at := a.find(name, step)
	if at < 0 {
		return
	}
	h.calls[at].givenUp = true
	h.freeAt = max(h.freeAt, now+h.left(at))
	h.pausedTo = now + adviserPause
}

// notAsked notes that a call did not reach the service.
func (a *advisers) notAsked(name string, step adviceStep, now time.Duration) {
	h, at := a.find(name, step)
	if at < 0 {
		return
	}
	h.freeAt -= h.calls[at].cost
	h.calls = slices.Delete(h.calls, at, at+1)
	h.pausedTo = now + adviserPause
}

// left is the length of the calls from one on.
func (h *adviser) left(from int) time.Duration {
	var sum time.Duration
	for _, c := range h.calls[from:] {
		sum += c.cost
	}
	return sum
}

// find returns a host and the place of its newest call about a step, or -1.
func (a *advisers) find(name string, step adviceStep) (*adviser, int) {
	h := a.away[name]
	for _, listed := range a.hosts {
		if listed.name == name {
			h = listed
		}
	}
	if h == nil {
		return nil, -1
	}
	for i := len(h.calls) - 1; i >= 0; i-- {
		if h.calls[i].step == step {
			return h, i
		}
	}
	return nil, -1
}
