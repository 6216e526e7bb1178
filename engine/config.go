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

// ConfigStream is the stream that operators publish configuration in.
const ConfigStream ports.Stream = "config"

const (
	configPage  = 256                    // records of one read
	configRetry = 250 * time.Millisecond // after a failed read
	peerRetry   = 500 * time.Millisecond // between reads from peers
)

// configFollower keeps the configuration up to date, from the log, or from
// peers while the log cannot be reached.
type configFollower struct {
	follower *fleet.Follower
	reader   stream.Reader
	appender stream.Appender
	poll     time.Duration

	sentAt   time.Duration // of the open read of the log
	knownAt  time.Duration // when the configuration was last known to be the newest
	known    bool
	logFails bool          // the last read of the log failed
	peerOpen bool          // a ReadPeer is under way
	peerNext time.Duration // when the next may be sent
	newest   ports.Offset
	newestAt ident.HostID // peer that told of newest
	noState  bool         // the log's records hold no whole configuration
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

// age returns how long ago the configuration was known to be the newest.
func (c *configFollower) age(now time.Duration) time.Duration {
	if !c.known {
		return now
	}
	return now - c.knownAt
}

func (c *configFollower) upstreamMarked(worker ident.WorkerID) bool {
	s := c.state()
	return s != nil && s.UpstreamMode(worker) != fleet.ModeNone
}

// peerSeen notes what a peer's digest tells of the configuration.
//
// A peer that reads the log vouches for hosts that cannot: when both are at
// one offset, this host's configuration is as old as the peer's.
func (c *configFollower) peerSeen(now time.Duration, d member.Digest) {
	if d.Config > c.newest {
		c.newest = d.Config
		c.newestAt = d.Holder.Host
	}
	s := c.state()
	if s != nil && d.Config == s.Offset() {
		c.vouched(now, d.ConfigAge)
	}
}

func (c *configFollower) vouched(now, age time.Duration) {
	if at := now - age; !c.known || at > c.knownAt {
		c.known = true
		c.knownAt = at
	}
}

// vouchedBy notes how new a peer's answer is, if it left this host level with
// the peer.
func (c *configFollower) vouchedBy(now time.Duration, ev PeerConfig) {
	s := c.state()
	switch {
	case s == nil:
	case ev.State != nil && s.Offset() >= ev.State.Offset():
		c.vouched(now, ev.Age)
	case ev.Page != nil && s.Offset() >= ev.Page.Last:
		c.vouched(now, ev.Age)
	}
}

// tickConfig keeps a read of the log open, and asks a peer when the log fails
// or holds no whole configuration any more.
func (e *Engine) tickConfig() {
	c := &e.config
	if cmd, ok := c.reader.Next(e.now, c.poll); ok {
		c.sentAt = e.now
		e.emit(ReadStream{Read: cmd})
	}
	if c.logFails || c.noState {
		e.askPeerConfig()
	}
	e.snapshotConfig()
}

// askPeerConfig asks the peer with the newest configuration, if it is newer.
func (e *Engine) askPeerConfig() {
	c := &e.config
	if c.peerOpen || e.now < c.peerNext {
		return
	}
	if s := c.state(); s != nil && c.newest <= s.Offset() {
		return
	}
	for _, p := range e.view.Hosts {
		if p.Host == c.newestAt || (c.newestAt == "" && p.Heard) {
			c.peerOpen = true
			e.emit(ReadPeer{Host: p.Host, Addr: p.Addr, After: c.follower.PeerAfter(), Limit: configPage})
			return
		}
	}
	c.newest, c.newestAt = 0, "" // that peer is gone; the next digest names another
}

func (e *Engine) configRead(ev StreamRead) {
	c := &e.config
	c.logFails = false
	ans := c.reader.Page(stream.PageRead{Tag: ev.Tag, Page: ev.Page})
	if ans.Stale {
		return
	}
	e.addConfig(ev.Page)
	if s := c.state(); s != nil && s.Offset() >= ev.Page.Last {
		c.known = true
		c.knownAt = ans.SentAt
	}
	c.reader.Seek(c.follower.After())
}

func (e *Engine) configReadFailed(ev StreamFailed) {
	e.config.logFails = true
	e.config.reader.Failed(e.now, stream.ReadFailed{Tag: ev.Tag})
}

func (e *Engine) peerConfig(ev PeerConfig) {
	c := &e.config
	c.peerOpen = false
	c.peerNext = e.now + peerRetry
	defer c.vouchedBy(e.now, ev)
	switch {
	case ev.State != nil:
		if c.follower.Adopt(ev.State) {
			e.configChanged()
		}
	case ev.Page != nil:
		e.addConfig(*ev.Page)
	default:
		c.newest, c.newestAt = 0, ""
		return
	}
	c.reader.Seek(c.follower.After())
}

// addConfig folds a page and publishes the new state.
func (e *Engine) addConfig(page ports.Page) {
	before := e.config.state()
	results, err := e.config.follower.Add(page)
	e.config.noState = false
	switch err := err.(type) {
	case nil:
	case *fleet.NoSnapshotError:
		e.config.noState = true
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

// configChanged puts the newest configuration in force in every part.
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

// configAsked serves a peer that is behind: the records after an offset, or the
// whole configuration if they are not kept any more.
func (e *Engine) configAsked(ev ConfigAsked) {
	reply := ConfigReply{Call: ev.Call, Age: e.config.age(e.now)}
	if page, ok := e.config.follower.Since(ev.After); ok {
		reply.Page = &page
	} else {
		reply.State = e.config.state()
	}
	e.emit(reply)
}

// ConfigAge returns how long ago the configuration was known to be the newest.
func (e *Engine) ConfigAge() time.Duration { return e.config.age(e.now) }

// LogReachable reports whether the last read of the configuration succeeded.
func (e *Engine) LogReachable() bool { return !e.config.logFails }

// snapshotConfig writes the configuration into its stream again before its
// records expire. The scheduler of the first configured zone does so, or that
// of a later zone if the first is cut off; a snapshot written by two hosts at
// once is harmless.
func (e *Engine) snapshotConfig() {
	c := &e.config
	state := c.state()
	if state == nil || !e.Schedules() || c.logFails {
		return
	}
	rank := slices.Index(e.opts.Zones, e.opts.Zone)
	if !fleet.SnapshotDue(state, e.wall, e.opts.SnapshotEvery, rank) || !c.appender.Ready(e.now, snapshotPause) {
		return
	}
	group, err := fleet.SnapshotGroup(state, e.wall)
	if err != nil {
		e.note(NoteConfig, err.Error())
		return
	}
	e.emit(AppendGroup{Append: c.appender.Send(e.now, group)})
}

// snapshotPause keeps a snapshot that has not been read back yet from being
// written again.
const snapshotPause = 10 * time.Second
