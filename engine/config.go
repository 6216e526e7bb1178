package engine

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/stream"
)

// ConfigStream is the log stream that operators publish configuration in.
const ConfigStream ports.Stream = "config"

const (
	configPage  = 256                    // maximum number of records of one read
	configRetry = 250 * time.Millisecond // pause after a failed read of the log
	peerRetry   = 500 * time.Millisecond // pause between reads from peers
)

// configFollower keeps the configuration up to date from the log, or from peers
// while the log is unreachable or holds no snapshot.
type configFollower struct {
	follower *fleet.Follower
	reader   stream.Reader
	appender stream.Appender
	poll     time.Duration

	sentAt           time.Duration // when the read of the log in flight was sent
	confirmedAt      time.Duration // when the configuration was last known to be the newest
	confirmed        bool          // confirmedAt is set
	logReadFailed    bool          // the last read of the log failed
	peerReadInFlight bool          // a ReadPeer is in flight
	nextPeerRead     time.Duration // earliest time of the next ReadPeer
	newestOffset     ports.Offset  // newest offset in the digests of peers
	newestPeer       ident.HostID  // peer that reported newest
	noSnapshot       bool          // the log's records contain no complete configuration
}

func newConfigFollower(opts Options) configFollower {
	return configFollower{
		follower: fleet.NewFollower(),
		reader:   stream.Reader{Stream: ConfigStream, Retry: configRetry, Limit: configPage},
		appender: stream.Appender{Stream: ConfigStream, Retry: time.Second},
		poll:     opts.ConfigPoll,
	}
}

func (c *configFollower) state() *fleet.State { return c.follower.State() }

// age returns the time since the configuration was last known to be the newest.
// If it never was, that is the time since the process started.
func (c *configFollower) age(now time.Duration) time.Duration {
	if !c.confirmed {
		return now
	}
	return now - c.confirmedAt
}

func (c *configFollower) upstreamMarked(worker ident.WorkerID) bool {
	s := c.state()
	return s != nil && s.UpstreamMode(worker) != fleet.ModeNone
}

// peerSeen handles the configuration offset and age in a peer's digest.
//
// A peer that reads the log confirms the configuration of hosts that cannot: if
// both are at the same offset, this host's configuration has the peer's age.
func (c *configFollower) peerSeen(now time.Duration, d member.Digest) {
	if d.Config > c.newestOffset {
		c.newestOffset = d.Config
		c.newestPeer = d.Holder.Host
	}
	s := c.state()
	if s != nil && d.Config == s.Offset() {
		c.confirmAge(now, d.ConfigAge)
	}
}

func (c *configFollower) confirmAge(now, age time.Duration) {
	if at := now - age; !c.confirmed || at > c.confirmedAt {
		c.confirmed = true
		c.confirmedAt = at
	}
}

// confirmAgeFromPeer applies the age in a peer's answer, if this host has caught
// up with the peer.
func (c *configFollower) confirmAgeFromPeer(now time.Duration, ev PeerConfig) {
	s := c.state()
	switch {
	case s == nil:
	case ev.State != nil && s.Offset() >= ev.State.Offset():
		c.confirmAge(now, ev.Age)
	case ev.Page != nil && s.Offset() >= ev.Page.Last:
		c.confirmAge(now, ev.Age)
	}
}

// tickConfig keeps a read of the log in flight. It reads from a peer if reads
// of the log fail or the log no longer holds a complete configuration.
func (e *Engine) tickConfig() {
	c := &e.config
	if cmd, ok := c.reader.Next(e.now, c.poll); ok {
		c.sentAt = e.now
		e.emit(ReadStream{Read: cmd})
	}
	if c.logReadFailed || c.noSnapshot {
		e.askPeerConfig()
	}
	e.snapshotConfig()
}

// askPeerConfig sends a ReadPeer to the peer that reported the newest
// configuration, if that is newer than this host's.
func (e *Engine) askPeerConfig() {
	c := &e.config
	if c.peerReadInFlight || e.now < c.nextPeerRead {
		return
	}
	if s := c.state(); s != nil && c.newestOffset <= s.Offset() {
		return
	}
	for _, p := range e.view.Hosts {
		if p.Host == c.newestPeer || (c.newestPeer == "" && p.Heard) {
			c.peerReadInFlight = true
			e.emit(ReadPeer{Host: p.Host, Addr: p.Addr, After: c.follower.PeerAfter(), Limit: configPage})
			return
		}
	}
	c.newestOffset, c.newestPeer = 0, "" // that peer is no longer live; the next digest sets another
}

func (e *Engine) configRead(ev StreamRead) {
	c := &e.config
	c.logReadFailed = false
	ans := c.reader.Page(stream.PageRead{Tag: ev.Tag, Page: ev.Page})
	if ans.Stale {
		return
	}
	e.addConfig(ev.Page)
	if s := c.state(); s != nil && s.Offset() >= ev.Page.Last {
		c.confirmed = true
		c.confirmedAt = ans.SentAt
	}
	c.reader.Seek(c.follower.After())
}

func (e *Engine) configReadFailed(ev StreamFailed) {
	e.config.logReadFailed = true
	e.config.reader.Failed(e.now, stream.ReadFailed{Tag: ev.Tag})
}

func (e *Engine) peerConfig(ev PeerConfig) {
	c := &e.config
	c.peerReadInFlight = false
	c.nextPeerRead = e.now + peerRetry
	defer c.confirmAgeFromPeer(e.now, ev)
	switch {
	case ev.State != nil:
		if c.follower.Adopt(ev.State) {
			e.configChanged()
		}
	case ev.Page != nil:
		e.addConfig(*ev.Page)
	default:
		c.newestOffset, c.newestPeer = 0, ""
		return
	}
	c.reader.Seek(c.follower.After())
}

// addConfig applies a page of records and publishes the new state.
func (e *Engine) addConfig(page ports.Page) {
	before := e.config.state()
	results, err := e.config.follower.Add(page)
	e.config.noSnapshot = false
	switch err := err.(type) {
	case nil:
	case *fleet.NoSnapshotError:
		e.config.noSnapshot = true
	default:
		e.note(NoteConfig, err.Error())
	}
	for _, r := range results {
		if r.Status == fleet.StatusRejected {
			e.note(NoteConfig, "change rejected: "+r.Reason.Error())
		}
		e.emit(ConfigFolded{Result: r})
	}
	if e.config.state() != before {
		e.configChanged()
	}
}

// configChanged applies the newest configuration to all parts of the engine.
func (e *Engine) configChanged() {
	state := e.config.state()
	limits := make([]ledger.TeamLimit, 0, len(state.Teams()))
	for _, t := range state.Teams() {
		e.stepRouter(request.TeamShare{Team: t.ID, Weight: t.Share})
		limits = append(limits, ledger.TeamLimit{Team: t.ID, Limit: t.Limit, Version: t.Revision})
	}
	e.stepUnits(ledger.Configured{Teams: limits})
	e.applyMarks()
	e.configureZone()
	if state.HostMode(e.opts.Self.Host) == fleet.ModeDrain {
		e.drain()
	}
	e.emit(ConfigChanged{State: state})
}

// configAsked answers a peer's read with the records after its offset, or with
// the whole configuration if this host no longer has those records.
func (e *Engine) configAsked(ev ConfigAsked) {
	reply := ConfigReply{Call: ev.Call, Age: e.config.age(e.now)}
	if page, ok := e.config.follower.Since(ev.After); ok {
		reply.Page = &page
	} else {
		reply.State = e.config.state()
	}
	e.emit(reply)
}

// ConfigAge returns the time since the configuration was last known to be the
// newest. If it never was, that is the time since the process started.
func (e *Engine) ConfigAge() time.Duration { return e.config.age(e.now) }

// LogReachable reports whether the last read of the configuration from the log
// succeeded. It is true before the first read ends.
func (e *Engine) LogReachable() bool { return !e.config.logReadFailed }

// snapshotConfig appends a snapshot of the configuration to its stream before
// the records there expire. The scheduler of the first configured zone does so,
// or that of a later zone if the first one is unreachable. It is harmless if two
// hosts write a snapshot at the same time.
func (e *Engine) snapshotConfig() {
	c := &e.config
	state := c.state()
	if state == nil || !e.Schedules() || c.logReadFailed {
		return
	}
	rank := slices.Index(e.opts.Zones, e.opts.Zone)
	if !fleet.SnapshotDue(state, e.wall, e.opts.SnapshotEvery, rank) || !c.appender.Ready(e.now, minSnapshotInterval) {
		return
	}
	group, err := fleet.SnapshotGroup(state, e.wall)
	if err != nil {
		e.note(NoteConfig, err.Error())
		return
	}
	e.emit(AppendGroup{Append: c.appender.Send(e.now, group)})
}

// minSnapshotInterval is the least time between two snapshots by this host. It
// prevents a second snapshot while the first has not been read back yet.
const minSnapshotInterval = 10 * time.Second
