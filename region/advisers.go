package region

import (
	"slices"
	"time"
)

const (
	// minBacklogLimit and backlogFactor bound the backlog of a host to which a further
	// call may be added: minBacklogLimit, or backlogFactor times the call's service time
	// if that is longer. Steps that wait here can still be reordered by urgency, calls
	// queued at the service cannot.
	minBacklogLimit = 60 * time.Millisecond
	backlogFactor   = 1.2
	// scarceBacklogFactor replaces backlogFactor where advice is scarce, so that the calls of a
	// host are sent one by one and late work does not queue ahead of work that can be on time.
	scarceBacklogFactor = 0.5
	// adviceSlack is added to the expected time of a call for advice to get its timeout.
	adviceSlack = 1500 * time.Millisecond
	// adviserPause is the backoff of a host after a failed call for advice.
	adviserPause = time.Second
)

// advisers spreads calls for advice over hosts.
type advisers struct {
	hosts    []*adviser
	unlisted map[string]*adviser // hosts that left the list with a backlog or a pause
}

// adviser is a host through which advice is requested, with its queue at the advice
// service. The service executes the calls of a host one after the other, including those
// that have timed out at the host.
//
// The guard is against a queue that never drains: if a call that timed out no longer
// counted, the next one would be queued behind it and time out as well. It shows as calls
// that fail at a steady rate while steps with advice wait and workers are idle.
type adviser struct {
	name        string
	calls       []adviceCall  // calls that the service may still execute, oldest first
	idleAt      time.Duration // estimate of when the service has executed them
	pausedUntil time.Duration // end of the backoff after a failed call
}

// adviceCall is one call that is in flight or has timed out.
type adviceCall struct {
	step     adviceStep
	cost     time.Duration
	timedOut bool
}

// adviceStep identifies the step of a call.
type adviceStep struct {
	job              string
	occurrence, step int32
}

func (c Advise) stepKey() adviceStep { return adviceStep{c.Job, c.Occurrence, c.Step} }

// set replaces the list of hosts. The queue of a host that leaves the list is kept while it
// is active, as the service continues to execute its calls.
func (a *advisers) set(names []string, now time.Duration) {
	known := a.unlisted
	a.unlisted = make(map[string]*adviser)
	for name, h := range known {
		if h.active(now) {
			a.unlisted[name] = h
		}
	}
	for _, h := range a.hosts {
		a.unlisted[h.name] = h
	}
	a.hosts = a.hosts[:0:0]
	for _, name := range names {
		h, ok := a.unlisted[name]
		if !ok {
			h = &adviser{name: name}
		}
		delete(a.unlisted, name)
		a.hosts = append(a.hosts, h)
	}
}

// active reports whether the host has a backlog or a pause to keep while it is not listed.
func (h *adviser) active(now time.Duration) bool {
	return now < h.idleAt || now < h.pausedUntil
}

// backlog returns the longest time that the service may need for the host's calls. A call
// in flight counts in full, as the time at which the service began it is not known.
func (h *adviser) backlog(now time.Duration) time.Duration {
	var inFlight time.Duration
	for _, c := range h.calls {
		if !c.timedOut {
			inFlight += c.cost
		}
	}
	return max(inFlight, h.idleAt-now)
}

// accepts reports whether a call with that service time may be added now.
func (h *adviser) accepts(cost, now time.Duration) bool {
	return h.acceptsWithin(cost, backlogFactor, now)
}

// acceptsWithin is accepts for a backlog of at most factor times the call's service time.
func (h *adviser) acceptsWithin(cost time.Duration, factor float64, now time.Duration) bool {
	return now >= h.pausedUntil && h.backlog(now) <= max(minBacklogLimit, time.Duration(factor*float64(cost)))
}

// pick returns the host with the shortest backlog among those that accept a call of that
// queue and service time, or nil if there is none.
func (a *advisers) pick(l adviceTiers, queue string, cost, now time.Duration) *adviser {
	return a.pickWithin(l, queue, cost, backlogFactor, now)
}

// pickWithin is pick for a backlog of at most factor times the call's service time. Of many idle
// hosts it looks at the first only.
func (a *advisers) pickWithin(l adviceTiers, queue string, cost time.Duration, factor float64, now time.Duration) *adviser {
	var best *adviser
	for _, h := range a.hosts[l.firstHost(queue, len(a.hosts)):] {
		if h.acceptsWithin(cost, factor, now) && (best == nil || h.backlog(now) < best.backlog(now)) {
			best = h
		}
		if best != nil && best.backlog(now) <= 0 {
			return best
		}
	}
	return best
}

// idle returns how many hosts have no call to wait for.
func (a *advisers) idle(now time.Duration) int {
	n := 0
	for _, h := range a.hosts {
		if now >= h.pausedUntil && h.backlog(now) <= 0 {
			n++
		}
	}
	return n
}

// enqueue adds a call to the backlog and returns its timeout.
func (h *adviser) enqueue(step adviceStep, cost, now time.Duration) time.Duration {
	if h.idleAt <= now {
		h.calls = slices.DeleteFunc(h.calls, func(c adviceCall) bool { return c.timedOut })
	}
	h.idleAt = max(h.idleAt, now) + cost
	h.calls = append(h.calls, adviceCall{step: step, cost: cost})
	return h.backlog(now) + adviceSlack
}

// answered removes a call that the service has executed, and the calls before it.
func (a *advisers) answered(name string, step adviceStep, now time.Duration) {
	h, at := a.findCall(name, step)
	if at < 0 {
		return
	}
	h.calls = h.calls[at+1:]
	h.idleAt = now + h.remaining(0)
}

// unanswered records that a call timed out. The service may not have begun it yet, so that it
// counts with its whole service time from now.
func (a *advisers) unanswered(name string, step adviceStep, now time.Duration) {
	h, at := a.findCall(name, step)
	if at < 0 {
		return
	}
	h.calls[at].timedOut = true
	h.idleAt = max(h.idleAt, now+h.remaining(at))
	h.pausedUntil = now + adviserPause
}

// notSent removes a call that did not reach the service.
func (a *advisers) notSent(name string, step adviceStep, now time.Duration) {
	h, at := a.findCall(name, step)
	if at < 0 {
		return
	}
	h.idleAt -= h.calls[at].cost
	h.calls = slices.Delete(h.calls, at, at+1)
	h.pausedUntil = now + adviserPause
}

// remaining returns the total service time of the calls from an index on.
func (h *adviser) remaining(from int) time.Duration {
	var sum time.Duration
	for _, c := range h.calls[from:] {
		sum += c.cost
	}
	return sum
}

// findCall returns a host and the index of its newest call about a step, or nil and -1.
func (a *advisers) findCall(name string, step adviceStep) (*adviser, int) {
	h := a.unlisted[name]
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
