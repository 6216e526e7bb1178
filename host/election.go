package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/succession"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// topicClaims is the topic with one record for each leadership. The record's offset
// plus one is the leader's fencing token.
const topicClaims = "claims"

const (
	// claimsWait is how long a read of the log waits for a new claim.
	claimsWait = 5 * time.Second
	// claimTimeout bounds the append of a claim, and a read in addition to its wait.
	claimTimeout = 900 * time.Millisecond
	// maxPingInterval bounds the ping interval that a leader may ask for.
	maxPingInterval = 10 * time.Second
	// pingJitterDivisor bounds the jitter of pings: an interval is shortened by up to
	// 1/pingJitterDivisor of it.
	pingJitterDivisor = 4
	// firstPingDivisor bounds the delay of the first ping of a new leader: up to
	// 1/firstPingDivisor of the interval, which grows with the number of hosts.
	firstPingDivisor = 10
	// pingTimeout bounds a ping. A busy host answers within some 100 ms. A leader that
	// takes longer is not replaced while its entries in the log grow.
	pingTimeout = 200 * time.Millisecond
	// baseElectionTimeout is how long the log must show no new entry of the leader
	// before another host takes over; package leader adds a multiple of the log's
	// latency. A leader appends every 100 ms, but its process may get no CPU time for
	// most of this timeout.
	baseElectionTimeout = 350 * time.Millisecond
	// leaderLogTimeout is how long a leader may get no answer from the log before it asks
	// other hosts to take over, and before they check the log themselves. It is longer
	// than an append takes when the log is slow for everyone.
	leaderLogTimeout = 900 * time.Millisecond
	// leaderRefusedTimeout is how long the log may refuse every append of a leader
	// before the leader asks other hosts to take over. Refusals come at once, however
	// slow the log is, so this is shorter than leaderLogTimeout.
	leaderRefusedTimeout = 250 * time.Millisecond
	// closedPortElectionTimeout replaces baseElectionTimeout if the leader's port
	// refuses connections: its process has ended, unless a network partition causes the
	// refusal.
	closedPortElectionTimeout = 200 * time.Millisecond
	// handOverTimeout bounds a call that asks a helper to claim.
	handOverTimeout = claimTimeout + 300*time.Millisecond
	// claimJitter spreads the claims of hosts that detect the loss at the same time.
	claimJitter = 20 * time.Millisecond
	// smallHostClaimDelay is the delay of a claim by a host with hardly any CPU,
	// relative to a host with a whole core. It lets the larger host win.
	smallHostClaimDelay = 50 * time.Millisecond
	// minLeadTime is the shortest time that a host leads before it hands over to a
	// larger one: by then all hosts have pinged it.
	minLeadTime = time.Second
	// nominateTimeout bounds the wait for a nominated successor to claim. The
	// successors are asked one after another, nominateStagger apart.
	nominateTimeout = 600 * time.Millisecond
	nominateStagger = 60 * time.Millisecond
	// recentClaimWindow is how long a claim counts as recent. Each recent claim but the first
	// doubles the election timeout, up to maxTimeoutDoublings times.
	recentClaimWindow   = 20 * time.Second
	maxTimeoutDoublings = 3
)

// election tracks the leader and claims the leadership when there is none.
type election struct {
	host       *Host
	mu         sync.Mutex
	claim      *record.Claim // newest claim read; nil if none
	fence      int64         // fencing token of claim
	claimedAt  time.Duration // when claim was read
	claimIsNew bool          // claim was made after this process had read all earlier ones
	nextOffset int64         // offset after the newest claim read
	caughtUp   bool          // the claims have been read to their end

	recentClaims []time.Duration // when recent claims were read

	hostAddresses         []string      // addresses of some hosts, from the leader's newest ping response
	requestedPingInterval time.Duration // interval that the leader asked for

	successors      []string // addresses of the preferred successors, from the same response
	lastPicked      int      // index of the last of hostAddresses that was picked
	watcher         *leader.Watcher
	leadership      *leader.Leader
	leadershipFence int64         // fencing token of leadership
	claimRead       chan struct{} // signals that a claim has been read
}

func newElection(h *Host) *election {
	return &election{host: h, watcher: leader.NewWatcher(h.client), claimRead: make(chan struct{}, 1)}
}

// newestClaim returns the newest claim read and its fencing token; nil and 0 if there is
// none.
func (e *election) newestClaim() (*record.Claim, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claim, e.fence
}

// localLeader returns the leader that runs on this host, or nil if it does not lead.
func (e *election) localLeader() *leader.Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leadership
}

// watchClaims reads new claims from the log until ctx ends.
func (e *election) watchClaims(ctx context.Context) {
	tries := telemetry.RetryReporter{Metric: "claim_reads", Operation: "reading claims", Log: e.host.log, Metrics: e.host.metrics}
	var retry backoff
	for ctx.Err() == nil {
		e.mu.Lock()
		from := e.nextOffset
		wait := claimsWait
		if !e.caughtUp {
			wait = 0
		}
		e.mu.Unlock()
		b, err := e.host.client.ReadLog(ctx, claimTimeout, platform.Read{Topic: topicClaims, From: from, Wait: wait})
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			e.mu.Lock()
			e.nextOffset = expired.First
			e.mu.Unlock()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !tries.Observe(err) {
			retry.sleep(ctx)
			continue
		}
		retry = backoff{}
		e.applyClaims(from, b.Records, b.End)
	}
}

// applyClaims applies claims that were read from the offset from on; end is the offset
// after the last claim in the log. It ends this host's leadership if a later claim
// is among them.
func (e *election) applyClaims(from int64, records [][]byte, end int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, data := range records {
		offset := from + int64(i)
		if offset < e.nextOffset {
			continue
		}
		e.nextOffset = offset + 1
		c := &record.Claim{}
		if err := proto.Unmarshal(data, c); err != nil {
			e.host.log.WithError(err).Error("cannot decode a claim")
			continue
		}
		e.claim, e.fence = c, offset+1
		e.claimedAt, e.claimIsNew = boottime.Now(), e.caughtUp
		if e.caughtUp {
			e.recentClaims = append(e.recentClaims, boottime.Now())
		}
		if e.leadership != nil && e.leadershipFence < e.fence {
			e.leadership.StepDown(e.fence)
		}
		e.host.log.WithFields(logrus.Fields{"leader": c.Host, "fence": e.fence}).Info("leader claimed")
		select {
		case e.claimRead <- struct{}{}:
		default:
		}
	}
	e.caughtUp = e.nextOffset >= end
}

// run pings the leader and claims the leadership when the leader has failed. A new
// leader is pinged soon after its claim is read: until it knows other hosts it makes
// all advice calls itself, which delays the backlog from the time without a leader.
func (e *election) run(ctx context.Context) {
	for due := boottime.Now(); ctx.Err() == nil; {
		if boottime.Now() >= due || !e.host.intake.Healthy() {
			e.checkLeadership(ctx)
			due = boottime.Now() + e.nextPingDelay()
		}
		wait := time.NewTimer(min(minPingInterval, due-boottime.Now()))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-e.claimRead:
			due = boottime.Now() + e.firstPingDelay()
		}
		wait.Stop()
	}
}

// checkLeadership runs one round: a leader checks whether to hand over, any other host
// whether there is a leader.
func (e *election) checkLeadership(ctx context.Context) {
	if e.host.stopping.Load() {
		return
	}
	if l := e.localLeader(); l != nil {
		if l.LogContactAge() > leaderLogTimeout || l.LogRefusedFor() > leaderRefusedTimeout {
			// The log may be unreachable from this host only.
			e.handOver(ctx)
		} else if l.LedFor() > minLeadTime && e.host.helpers.hasLarger(e.host.capacity()) {
			e.handOver(ctx)
		}
		return
	}
	_, fence := e.newestClaim()
	switch e.checkLeader(ctx) {
	case noLeader:
		if e.nominate(ctx, fence) {
			return
		}
		boottime.Sleep(ctx, e.claimDelay())
		e.claimLeadership(ctx, fence)
	case smallLeaderLoads:
		e.overtake(ctx, fence)
	}
}

// overtake claims the leadership from a smaller host that still loads, unless this host cannot
// read the log either.
func (e *election) overtake(ctx context.Context, fence int64) {
	boottime.Sleep(ctx, e.claimDelay())
	if !e.watcher.LogReadable(ctx) {
		return
	}
	if e.claimLeadership(ctx, fence) {
		e.host.metrics.Counter("leaders_overtaken").Inc(1)
		e.host.log.WithField("after_fence", fence).Info("claimed from a smaller host that was loading")
	}
}

// nominate asks the preferred successors that the leader named to take over, unless
// this host is one of them. It reports whether one of them leads.
//
// In a large region most hosts are small, so the first host that detects the loss of
// the leader is likely to be too small to lead.
func (e *election) nominate(ctx context.Context, fence int64) bool {
	e.mu.Lock()
	successors := slices.Clone(e.successors)
	e.mu.Unlock()
	if slices.Contains(successors, e.host.settings.Control) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, nominateTimeout)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	accepted := make(chan bool, len(successors))
	for i, address := range successors {
		calls.Go(func() {
			if !boottime.Sleep(ctx, time.Duration(i)*nominateStagger) {
				accepted <- false
				return
			}
			_, err := e.host.peers.helper(address).TakeOver(ctx, newRequest(&hostrpc.TakeOverRequest{Fence: fence}))
			if err != nil {
				e.host.log.WithError(err).WithFields(logrus.Fields{"address": address, "fence": fence}).Debug("nominated host did not take over")
			}
			accepted <- err == nil
		})
	}
	for range successors {
		if <-accepted {
			return true
		}
	}
	return false
}

// nextPingDelay returns the time until the next ping. It includes jitter, because hosts
// that read a claim at the same time would otherwise keep pinging at the same time.
func (e *election) nextPingDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := max(e.requestedPingInterval, minPingInterval)
	if e.leadership != nil || !e.caughtUp {
		interval = minPingInterval
	}
	return interval - time.Duration(rand.Int64N(int64(interval)/pingJitterDivisor))
}

// firstPingDelay returns the time from a claim to the first ping of the new leader. It spreads the
// pings of many hosts, each with a new connection, which would delay the leader's first starts.
func (e *election) firstPingDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := max(e.requestedPingInterval, minPingInterval) / firstPingDivisor
	return time.Duration(rand.Int64N(int64(most)))
}

// claimDelay returns how long to wait before a claim: longer for a host with less
// than a core, plus jitter.
func (e *election) claimDelay() time.Duration {
	const core = 1000
	shortfall := 1 - min(float64(e.host.settings.MilliCPU)/core, 1)
	return time.Duration(shortfall*float64(smallHostClaimDelay)) + time.Duration(rand.Int64N(int64(claimJitter)))
}

// leaderState is what a host concludes about the leader.
type leaderState int

const (
	leaderAlive      leaderState = iota // or nothing shows that it is not
	noLeader                            // there is none
	smallLeaderLoads                    // one loads that this host is to overtake
)

// checkLeader checks the leader by the claims, a ping and, if the ping is inconclusive, the
// leader's entries in the log. It is leaderAlive until the claims have been read.
func (e *election) checkLeader(ctx context.Context) leaderState {
	e.mu.Lock()
	claim, ok := e.claim, e.caughtUp
	e.mu.Unlock()
	if !ok {
		return leaderAlive
	}
	if claim == nil || (claim.Host == e.host.settings.Host && e.localLeader() == nil) {
		return noLeader // no claim yet, or the newest is this host's own and it no longer leads
	}
	timeout := e.currentElectionTimeout(boottime.Now())
	switch e.ping(ctx, claim) {
	case pingLeading:
		return leaderAlive
	case pingLoading:
		if e.overtakes(claim, false) {
			return smallLeaderLoads
		}
		return leaderAlive
	case pingReplaced:
		return noLeader
	case pingPortClosed:
		timeout = closedPortElectionTimeout
	}
	if e.overtakes(claim, true) {
		return smallLeaderLoads
	}
	if e.watcher.NoNewEntries(ctx, timeout) {
		return noLeader
	}
	return leaderAlive
}

// overtakes reports whether this host should claim the leadership from the host that made the
// claim and still loads. If that one has not said so, the claim must be new: a host that has
// loaded may be too busy to answer.
func (e *election) overtakes(claim *record.Claim, onlyNew bool) bool {
	e.mu.Lock()
	at, isNew := e.claimedAt, e.claimIsNew
	e.mu.Unlock()
	claimant := succession.Capacity{MilliCPU: claim.MilliCpu, LinkBps: claim.LinkBps, MemoryMiB: claim.MemoryMib}
	return (isNew || !onlyNew) && succession.Overtakes(e.host.capacity(), claimant, boottime.Now()-at)
}

// currentElectionTimeout returns how long the log must show no new entry before this
// host takes over from a leader that does not answer. It doubles with each recent
// takeover. Without that, takeovers would repeat where the appends of a new leader
// arrive later than baseElectionTimeout allows, such as over a saturated link.
func (e *election) currentElectionTimeout(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentClaims = slices.DeleteFunc(e.recentClaims, func(at time.Duration) bool { return now-at > recentClaimWindow })
	return baseElectionTimeout << min(max(len(e.recentClaims)-1, 0), maxTimeoutDoublings)
}

// otherHosts returns the addresses of up to limit other hosts: the leader first, then
// further ones in rotation.
func (e *election) otherHosts(limit int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	own := e.host.settings.Control
	if e.claim != nil && e.claim.Address != own {
		out = append(out, e.claim.Address)
	}
	for range e.hostAddresses {
		e.lastPicked++
		a := e.hostAddresses[e.lastPicked%len(e.hostAddresses)]
		if len(out) < limit && a != own && (len(out) == 0 || a != out[0]) {
			out = append(out, a)
		}
	}
	return out
}

// pingResult is the result of a ping.
type pingResult int

const (
	pingInconclusive pingResult = iota // no answer, not leading (yet), or no recent contact with the log
	pingLeading
	pingLoading    // it has claimed the leadership and does not schedule yet
	pingPortClosed // its port refuses connections
	pingReplaced   // its process has ended: another incarnation answers
)

// ping pings the leader that made the claim and stores the host addresses, successors
// and ping interval of its response.
func (e *election) ping(ctx context.Context, claim *record.Claim) pingResult {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := boottime.Now()
	resp, err := e.host.peers.leader(claim.Address).Ping(ctx, e.host.pingRequest())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		e.host.peerContact.failed()
		return pingPortClosed
	case err != nil:
		e.host.peerContact.failed()
		return pingInconclusive
	}
	e.host.peerContact.succeeded()
	switch {
	case resp.Msg.Incarnation != claim.Incarnation:
		return pingReplaced
	case !resp.Msg.Leading:
		return pingInconclusive
	}
	e.applyPingResponse(resp.Msg)
	if !resp.Msg.Loading {
		e.host.jobBudget.renew(resp.Msg.JobAllowance, sent)
	}
	switch {
	case time.Duration(resp.Msg.LogContactMs)*time.Millisecond >= leaderLogTimeout:
		return pingInconclusive
	case resp.Msg.Loading:
		return pingLoading
	}
	return pingLeading
}

// applyPingResponse stores what a leader's response tells of other hosts. If it names no
// successors, those that are known remain.
func (e *election) applyPingResponse(resp *hostrpc.PingResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hostAddresses = resp.Hosts
	if len(resp.Successors) > 0 {
		e.successors = resp.Successors
	}
	e.requestedPingInterval = min(time.Duration(resp.NextMs)*time.Millisecond, maxPingInterval)
}

// claimLeadership claims the leadership from the leader with the given fencing token,
// and reports whether this host leads. The append fails if there is a later claim, so of
// several hosts that detect the loss at the same time only one succeeds. A host that
// reads a new claim while it still checks the old leader must not replace the new one:
// each such claim would force another change of leader, host after host.
func (e *election) claimLeadership(ctx context.Context, fence int64) bool {
	e.mu.Lock()
	at, newest := e.nextOffset, e.fence
	e.mu.Unlock()
	if newest != fence || e.localLeader() != nil {
		return e.localLeader() != nil
	}
	own := e.host.capacity()
	claim := &record.Claim{
		Host: e.host.settings.Host, Address: e.host.settings.Control, Incarnation: e.host.incarnation,
		MilliCpu: own.MilliCPU, LinkBps: own.LinkBps, MemoryMib: own.MemoryMiB,
	}
	data, err := proto.Marshal(claim)
	if err != nil {
		panic(err) // claims are built by this program and always encode
	}
	got, err := e.host.client.Append(ctx, claimTimeout, platform.Append{Topic: topicClaims, Records: [][]byte{data}, ExpectedEnd: at})
	if err != nil {
		// Without an answer the claim may be in the log. watchClaims then reads it. It
		// names this host, which does not lead, so noLeader reports true and this host
		// claims again.
		e.host.log.WithError(err).WithField("after_fence", fence).Info("lead not claimed")
		if platform.IsEndMismatch(err) {
			e.readClaims(ctx)
		}
		return false
	}
	e.applyClaims(got.First, [][]byte{data}, got.First+1)
	e.startLeading(ctx, got.First+1)
	return true
}

// readClaims reads the claims without a wait, because watchClaims may be waiting for an
// answer that is lost.
func (e *election) readClaims(ctx context.Context) {
	e.mu.Lock()
	from := e.nextOffset
	e.mu.Unlock()
	b, err := e.host.client.ReadLog(ctx, claimTimeout, platform.Read{Topic: topicClaims, From: from})
	if err != nil {
		e.host.log.WithError(err).Debug("cannot read claims; leaving it to the claims watch")
		return
	}
	e.applyClaims(from, b.Records, b.End)
}

// startLeading starts the leader with the given fencing token in the background. It
// runs until another host takes over or ctx ends.
func (e *election) startLeading(ctx context.Context, fence int64) {
	l := leader.New(e.host.leaderConfig(fence))
	e.mu.Lock()
	e.leadership, e.leadershipFence = l, fence
	e.mu.Unlock()
	e.host.group.Go(func() {
		began := boottime.Now()
		err := l.Run(ctx)
		e.mu.Lock()
		if e.leadership == l {
			e.leadership = nil
		}
		e.mu.Unlock()
		e.host.log.WithError(err).WithFields(logrus.Fields{"fence": fence, "led_ms": (boottime.Now() - began).Milliseconds()}).
			Info("leads no longer")
	})
}

// handOver asks helpers one after another to take over until one has claimed. A
// helper that does not reach the log refuses.
func (e *election) handOver(ctx context.Context) {
	e.mu.Lock()
	leads, fence := e.leadership != nil, e.leadershipFence
	e.mu.Unlock()
	if !leads {
		return
	}
	successors := e.host.helpers.successors()
	if !e.host.stopping.Load() {
		// If none of these reaches the log, it is probably unreachable for all hosts, and
		// a smaller host would be a worse leader once the log is back.
		successors = successors[:min(len(successors), maxSuccessors)]
	}
	for _, p := range successors {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := e.host.peers.helper(p.address).TakeOver(callCtx, newRequest(&hostrpc.TakeOverRequest{Fence: fence}))
		cancel()
		if err == nil {
			e.host.log.WithFields(logrus.Fields{"to": p.name, "fence": fence}).Info("handed over")
			return
		}
	}
	e.host.log.WithField("fence", fence).Info("nobody to hand over to")
}
