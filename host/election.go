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
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// topicClaims holds one record for each leadership; its offset plus one is the
// leader's fencing token.
const topicClaims = "claims"

const (
	// claimsWait is how long the log may wait for a new claim.
	claimsWait = 5 * time.Second
	// claimTimeout bounds the append of a claim, and reads beyond their wait.
	claimTimeout = 900 * time.Millisecond
	// mostPingPause bounds what a leader may ask for.
	mostPingPause = 10 * time.Second
	// pingJitter parts a pause: it is shorter by up to a pingJitter-th.
	pingJitter = 4
	// pingTimeout bounds a ping. A busy host answers within some 100 ms; one that
	// takes longer still has the log to show that it leads.
	pingTimeout = 200 * time.Millisecond
	// silence is how long the leader's entries must stand still, by a read of
	// the log, before another host takes over; package leader adds the time that the
	// log itself takes. A leader appends every 100 ms, and a process without
	// processor pauses for most of that.
	silence = 350 * time.Millisecond
	// staleLead is how long a leader may go without the log before it asks the
	// others to take over, and before they look whether they reach it: longer
	// than an append takes when the log is slow for everyone.
	staleLead = 900 * time.Millisecond
	// refusedLead is how long the log may do nothing but refuse a leader before it
	// asks the others to take over: refusals come at once, however slow the log is.
	refusedLead = 250 * time.Millisecond
	// closedSilence is the same as silence if the leader's port is closed: its
	// process has ended, unless a cut makes it look so.
	closedSilence = 200 * time.Millisecond
	// handOverTimeout bounds the wait for a helper that claims.
	handOverTimeout = claimTimeout + 300*time.Millisecond
	// jitter spreads the claims of hosts that notice at the same time.
	jitter = 20 * time.Millisecond
	// weakDelay is how much later a host without any processor to speak of claims
	// than one with a whole core: the stronger one shall win.
	weakDelay = 50 * time.Millisecond
	// settleTime is how long a host leads at least before it hands over to a
	// stronger one: by then all hosts have pinged it.
	settleTime = time.Second
	// nominateTimeout bounds the wait for a successor that is asked to claim, and
	// nominateGap is how much later than the one before each is asked.
	nominateTimeout = 600 * time.Millisecond
	nominateGap     = 60 * time.Millisecond
	// muchStronger times its own strength makes another host the better leader:
	// less is not worth a change, which costs a few tenths of a second.
	muchStronger = 1.5
	// claimMemory is how long a claim counts among the recent ones, of which each but the
	// first doubles the silence that another takeover needs, up to mostDoublings times.
	claimMemory   = 20 * time.Second
	mostDoublings = 3
)

// election finds the leader and claims the lead when there is none.
type election struct {
	host   *Host
	mu     sync.Mutex
	claim  *record.Claim // newest claim read; nil if none
	fence  int64         // of that claim
	next   int64         // offset after the newest claim read
	readOK bool          // the claims were read to their end

	claimTimes []time.Duration // when claims were read, those of late

	hosts     []string      // addresses of some other hosts, as the leader told them
	pingEvery time.Duration // as the leader asked for

	successors []string // addresses of the hosts that should lead next, as the leader told them
	turn       int      // which of them is asked next
	watcher    *leader.Watcher
	lead       *leader.Leader
	leadFence  int64         // of lead
	claimed    chan struct{} // a claim has been read
}

func newElection(h *Host) *election {
	return &election{host: h, watcher: leader.NewWatcher(h.client), claimed: make(chan struct{}, 1)}
}

// current returns the newest claim and its fencing token.
func (e *election) current() (*record.Claim, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claim, e.fence
}

// leading returns the leadership of this host, or nil.
func (e *election) leading() *leader.Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lead
}

// watchClaims follows the claims.
func (e *election) watchClaims(ctx context.Context) {
	tries := telemetry.Repeated{Name: "claim_reads", What: "reading claims", Log: e.host.log, Metrics: e.host.metrics}
	for ctx.Err() == nil {
		e.mu.Lock()
		from := e.next
		wait := claimsWait
		if !e.readOK {
			wait = 0
		}
		e.mu.Unlock()
		b, err := e.host.client.ReadLog(ctx, claimTimeout, platform.Read{Topic: topicClaims, From: from, Wait: wait})
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			e.mu.Lock()
			e.next = expired.First
			e.mu.Unlock()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !tries.Ended(err) {
			boottime.Sleep(ctx, configRetry)
			continue
		}
		e.took(from, b.Records, b.End)
	}
}

// took notes claims that were read from an offset on.
func (e *election) took(from int64, records [][]byte, end int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, data := range records {
		offset := from + int64(i)
		if offset < e.next {
			continue
		}
		e.next = offset + 1
		c := &record.Claim{}
		if err := proto.Unmarshal(data, c); err != nil {
			e.host.log.WithError(err).Error("claim cannot be read")
			continue
		}
		e.claim, e.fence = c, offset+1
		if e.readOK {
			e.claimTimes = append(e.claimTimes, boottime.Now())
		}
		if e.lead != nil && e.leadFence < e.fence {
			e.lead.Depose(e.fence)
		}
		e.host.log.WithFields(logrus.Fields{"leader": c.Host, "fence": e.fence}).Info("leader claimed")
		select {
		case e.claimed <- struct{}{}:
		default:
		}
	}
	e.readOK = e.next >= end
}

// run pings the leader, and claims the lead when it is gone. A new leader is
// pinged as soon as its claim is read: until it knows the other hosts it asks for
// all advice by itself, and what came while nobody led waits behind that.
func (e *election) run(ctx context.Context) {
	for due := boottime.Now(); ctx.Err() == nil; {
		if boottime.Now() >= due || !e.host.intake.Healthy() {
			e.check(ctx)
			due = boottime.Now() + e.pingPause()
		}
		wait := time.NewTimer(min(pingEvery, due-boottime.Now()))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-e.claimed:
			due = 0
		}
		wait.Stop()
	}
}

// check looks once after the lead.
func (e *election) check(ctx context.Context) {
	if e.host.stopping.Load() {
		return
	}
	if l := e.leading(); l != nil {
		if l.LogContactAge() > staleLead || l.LogRefusedFor() > refusedLead {
			// The log may turn only this host away: whoever reaches it claims.
			e.handOver(ctx)
		} else if l.LedFor() > settleTime && e.host.helpers.stronger(e.host.strength()) {
			e.handOver(ctx)
		}
		return
	}
	if _, fence := e.current(); e.leaderGone(ctx) {
		if e.nominate(ctx, fence) {
			return
		}
		boottime.Sleep(ctx, e.claimDelay())
		e.try(ctx, fence)
	}
}

// nominate asks the hosts that the leader named as its successors to take over from it,
// unless this host is one of them. It reports whether one has.
//
// In a large region most hosts are small, so that the one which notices first that the
// leader is gone is likely to be too small to lead.
func (e *election) nominate(ctx context.Context, fence int64) bool {
	e.mu.Lock()
	named := slices.Clone(e.successors)
	e.mu.Unlock()
	if slices.Contains(named, e.host.settings.Control) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, nominateTimeout)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	took := make(chan bool, len(named))
	for i, address := range named {
		calls.Go(func() {
			if !boottime.Sleep(ctx, time.Duration(i)*nominateGap) {
				took <- false
				return
			}
			_, err := e.host.peers.helper(address).TakeOver(ctx, newRequest(&hostrpc.TakeOverRequest{Fence: fence}))
			if err != nil {
				e.host.log.WithError(err).WithFields(logrus.Fields{"address": address, "fence": fence}).Debug("nominated host does not lead")
			}
			took <- err == nil
		})
	}
	for range named {
		if <-took {
			return true
		}
	}
	return false
}

// pingPause is how long to wait before the next ping, a little different each time so that
// the hosts that learned of a leader together do not ping together for ever.
func (e *election) pingPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	every := max(e.pingEvery, pingEvery)
	if e.lead != nil || !e.readOK {
		every = pingEvery
	}
	return every - time.Duration(rand.Int64N(int64(every)/pingJitter))
}

// claimDelay is how long to wait before a claim.
func (e *election) claimDelay() time.Duration {
	const core = 1000
	weakness := 1 - min(float64(e.host.settings.MilliCPU)/core, 1)
	return time.Duration(weakness*float64(weakDelay)) + time.Duration(rand.Int64N(int64(jitter)))
}

// leaderGone reports whether the log shows that nobody leads.
func (e *election) leaderGone(ctx context.Context) bool {
	e.mu.Lock()
	claim, ok := e.claim, e.readOK
	e.mu.Unlock()
	if !ok {
		return false
	}
	if claim == nil || (claim.Host == e.host.settings.Host && e.leading() == nil) {
		return true // nobody has ever led, or we did in an earlier life
	}
	switch e.ping(ctx, claim) {
	case leads:
		return false
	case gone:
		return true
	case closed:
		return e.watcher.Silent(ctx, closedSilence)
	}
	return e.watcher.Silent(ctx, e.patience(boottime.Now()))
}

// patience is how long the entries must stand still before this host takes over from a
// leader that does not answer. It grows with the takeovers of late, so that takeovers
// converge where a leader needs longer to be heard than silence: over a full link, say.
func (e *election) patience(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimTimes = slices.DeleteFunc(e.claimTimes, func(at time.Duration) bool { return now-at > claimMemory })
	return silence << min(max(len(e.claimTimes)-1, 0), mostDoublings)
}

// others returns addresses of other hosts, a few in turn, the leader first.
func (e *election) others(most int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	own := e.host.settings.Control
	if e.claim != nil && e.claim.Address != own {
		out = append(out, e.claim.Address)
	}
	for range e.hosts {
		e.turn++
		a := e.hosts[e.turn%len(e.hosts)]
		if len(out) < most && a != own && (len(out) == 0 || a != out[0]) {
			out = append(out, a)
		}
	}
	return out
}

// sign is what a ping tells of the leader.
type sign int

const (
	doubtful sign = iota // no answer, not leading (yet), or without the log
	leads
	closed // nobody listens at its port
	gone   // its process has ended: another one answers in its place
)

// ping asks the leader for a sign of life.
func (e *election) ping(ctx context.Context, claim *record.Claim) sign {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := e.host.peers.leader(claim.Address).Ping(ctx, e.host.pingRequest())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		e.host.contact.failed()
		return closed
	case err != nil:
		e.host.contact.failed()
		return doubtful
	}
	e.host.contact.heard()
	switch {
	case resp.Msg.Incarnation != claim.Incarnation:
		return gone
	case !resp.Msg.Leading:
		return doubtful
	}
	e.mu.Lock()
	e.hosts = resp.Msg.Hosts
	e.successors = resp.Msg.Successors
	e.pingEvery = min(time.Duration(resp.Msg.NextMs)*time.Millisecond, mostPingPause)
	e.mu.Unlock()
	if time.Duration(resp.Msg.LogContactMs)*time.Millisecond >= staleLead {
		return doubtful
	}
	return leads
}

// try claims the lead after the leader with that fencing token. The claim holds
// only if no other was written since, so that of several hosts that notice at
// the same time one succeeds. A host that reads a new claim while it still looks
// at the old leader must not claim behind it: each such claim would cost another
// change of leader, and every host would have its turn. It reports whether this
// host leads.
func (e *election) try(ctx context.Context, fence int64) bool {
	e.mu.Lock()
	at, now := e.next, e.fence
	e.mu.Unlock()
	if now != fence || e.leading() != nil {
		return e.leading() != nil
	}
	claim := &record.Claim{Host: e.host.settings.Host, Address: e.host.settings.Control, Incarnation: e.host.incarnation}
	data, err := proto.Marshal(claim)
	if err != nil {
		panic(err) // three strings always encode
	}
	got, err := e.host.client.Append(ctx, claimTimeout, platform.Append{Topic: topicClaims, Records: [][]byte{data}, ExpectedEnd: at})
	if err != nil {
		// Without an answer the claim may stand: watchClaims will read it, and
		// as it names this host without a leadership, it is claimed anew.
		e.host.log.WithError(err).WithField("after_fence", fence).Info("lead not claimed")
		if platform.IsEndMismatch(err) {
			e.readNow(ctx)
		}
		return false
	}
	e.took(got.First, [][]byte{data}, got.First+1)
	e.begin(ctx, got.First+1)
	return true
}

// readNow reads the claims at once: watchClaims may be waiting for an answer that is lost.
func (e *election) readNow(ctx context.Context) {
	e.mu.Lock()
	from := e.next
	e.mu.Unlock()
	b, err := e.host.client.ReadLog(ctx, claimTimeout, platform.Read{Topic: topicClaims, From: from})
	if err != nil {
		e.host.log.WithError(err).Debug("claims not read; they are watched as well")
		return
	}
	e.took(from, b.Records, b.End)
}

// begin leads in the background until another host takes over.
func (e *election) begin(ctx context.Context, fence int64) {
	l := leader.New(e.host.leaderConfig(fence))
	e.mu.Lock()
	e.lead, e.leadFence = l, fence
	e.mu.Unlock()
	e.host.group.Go(func() {
		began := boottime.Now()
		err := l.Run(ctx)
		e.mu.Lock()
		if e.lead == l {
			e.lead = nil
		}
		e.mu.Unlock()
		e.host.log.WithError(err).WithFields(logrus.Fields{"fence": fence, "led_ms": (boottime.Now() - began).Milliseconds()}).
			Info("leads no longer")
	})
}

// handOver asks helpers to take over until one has claimed. A helper that does
// not reach the log refuses.
func (e *election) handOver(ctx context.Context) {
	e.mu.Lock()
	leads, fence := e.lead != nil, e.leadFence
	e.mu.Unlock()
	if !leads {
		return
	}
	successors := e.host.helpers.successors()
	if !e.host.stopping.Load() {
		// If none of these reaches the log, it is hardly this host alone that it turns away,
		// and a weaker one would lead worse when it is back.
		successors = successors[:min(len(successors), successorsNamed)]
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
