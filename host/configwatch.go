package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
)

const (
	// configWait is how long a read of the log waits for a newer configuration. An
	// answer without one proves that the known one was the newest when the read was
	// sent, so this also bounds how stale the proof gets.
	configWait = 800 * time.Millisecond
	// configTimeout bounds a read of the log, in addition to configWait.
	configTimeout = 700 * time.Millisecond
	// peerContactLife is how long a confirmation by a peer counts as proof that peers
	// can be reached. Between two confirmations lie a failed read of the log and a
	// pause.
	peerContactLife = 2 * time.Second
	// configRetry is the pause after a failed read of the configuration or the claims.
	configRetry = 100 * time.Millisecond
)

// configWatch follows the operators' configuration in the log.
type configWatch struct {
	client *platform.Client
	log    *logrus.Entry

	config   atomic.Pointer[model.Config]
	raw      atomic.Pointer[[]byte] // encoded form of config, as the platform wrote it
	peers    func(ctx context.Context, have int64) (peerConfig, error)
	peerAt   atomic.Int64 // when a peer last confirmed the configuration
	provenAt atomic.Int64 // send time of the newest read, here or at a peer, that confirmed config
	logAt    atomic.Int64 // send time of this host's own newest successful read of the log
	next     int64        // offset of the next record to read
	whole    bool         // the newest record of each key has been read
	lost     bool         // the newest read of the log failed; used by run only
}

// Config returns the newest configuration known, or nil if there is none yet.
func (c *configWatch) Config() *model.Config { return c.config.Load() }

// Age returns how long ago the known configuration was last confirmed as the newest.
func (c *configWatch) Age() time.Duration {
	return boottime.Now() - time.Duration(c.provenAt.Load())
}

func (c *configWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := boottime.Now()
		err := c.follow(ctx)
		c.note(err)
		if err != nil {
			c.askPeers(ctx)
			boottime.Sleep(ctx, configRetry)
			continue
		}
		c.provenAt.Store(int64(sent))
		c.logAt.Store(int64(sent))
	}
}

// LogAge returns how long ago this host's newest successful read of the log was sent.
func (c *configWatch) LogAge() time.Duration {
	return boottime.Now() - time.Duration(c.logAt.Load())
}

// peerConfig is another host's answer about the configuration.
type peerConfig struct {
	version int64
	age     time.Duration // time since it was confirmed as the newest
	raw     []byte        // empty if the version is not newer than the requested one
}

// askPeers fetches and confirms the configuration through a host that reaches the
// log. Without it, a host that the log refuses would refuse every key once its own
// configuration has gone unconfirmed for too long.
func (c *configWatch) askPeers(ctx context.Context) {
	var have int64
	if now := c.config.Load(); now != nil {
		have = now.Version
	}
	sent := boottime.Now()
	got, err := c.peers(ctx, have)
	if err != nil {
		return // the failed read of the log is logged already, and Age shows the rest
	}
	if len(got.raw) > 0 {
		c.take(platform.KeyConfig, got.raw)
	}
	if now := c.config.Load(); now == nil || now.Version != got.version {
		return
	}
	if got.age < peerContactLife {
		c.peerAt.Store(int64(sent))
	}
	if proven := int64(sent - got.age); proven > c.provenAt.Load() {
		c.provenAt.Store(proven)
	}
}

// PeerContact reports whether another host that reaches the log has confirmed the
// configuration within peerContactLife.
func (c *configWatch) PeerContact() bool {
	return boottime.Now()-time.Duration(c.peerAt.Load()) < peerContactLife
}

// note logs when the log becomes unreachable and when it is reached again.
func (c *configWatch) note(err error) {
	switch {
	case err != nil && !c.lost:
		c.lost = true
		c.log.WithError(err).Warn("log lost: configuration cannot be confirmed")
	case err == nil && c.lost:
		c.lost = false
		c.log.Info("log regained: configuration confirmed")
	}
}

func (c *configWatch) follow(ctx context.Context) error {
	if !c.whole {
		return c.readWhole(ctx)
	}
	b, err := c.client.ReadLog(ctx, configTimeout, platform.Read{Topic: platform.TopicOperators, From: c.next, Wait: configWait})
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		// The log may drop its history at any time but retains the newest record of
		// each key.
		c.whole = false
		return c.readWhole(ctx)
	}
	if err != nil {
		return err
	}
	c.next += int64(len(b.Records))
	for _, data := range b.Records {
		key, value, err := platform.DecodeKeyed(data)
		if err != nil {
			c.log.WithError(err).Warn("cannot decode a record of the operators' topic")
			continue
		}
		c.take(key, value)
	}
	return nil
}

func (c *configWatch) readWhole(ctx context.Context) error {
	items, next, err := c.client.Newest(ctx, configTimeout, platform.TopicOperators)
	if err != nil {
		return err
	}
	for _, item := range items {
		c.take(item.Key, item.Value)
	}
	c.next, c.whole = next, true
	return nil
}

// take puts a configuration in force unless it is no newer than the current one: a
// read of all keys may return a version that an earlier read has already superseded.
func (c *configWatch) take(key string, value []byte) {
	if key != platform.KeyConfig {
		return
	}
	next, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).Error("configuration rejected")
		return
	}
	if now := c.config.Load(); now != nil && next.Version <= now.Version {
		return
	}
	c.raw.Store(&value)
	c.config.Store(next)
	c.log.WithFields(logrus.Fields{"version": next.Version, "queues": len(next.Queues), "keys": len(next.KeyOwner)}).
		Info("configuration in force")
}
