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
	// configWait is how long the log may wait for a newer configuration. An
	// answer without one proves that the known one was still the newest when
	// the read was sent, so that this is also how stale the proof gets.
	configWait = 800 * time.Millisecond
	// configTimeout bounds a read beyond the time it may wait.
	configTimeout = 700 * time.Millisecond
	// peerContactLife is how long a peer's confirmation shows that peers can be
	// reached: a failed read of the log and a pause lie between two.
	peerContactLife = 2 * time.Second
	// configRetry is the pause after a read that failed.
	configRetry = 100 * time.Millisecond
)

// configWatch follows the operators' configuration.
type configWatch struct {
	client *platform.Client
	log    *logrus.Entry

	config   atomic.Pointer[model.Config]
	raw      atomic.Pointer[[]byte] // of config, as the platform wrote it
	peers    func(ctx context.Context, have int64) (peerConfig, error)
	peerAt   atomic.Int64 // when a peer last confirmed the configuration
	provenAt atomic.Int64 // when a read was sent that showed nothing newer
	logAt    atomic.Int64 // the same, for our own reads of the log alone
	next     int64
	whole    bool
	lost     bool // the log is out of reach; only run uses it
}

// Config returns the newest configuration known, or nil.
func (c *configWatch) Config() *model.Config { return c.config.Load() }

// Age is how long ago the known configuration was certainly the newest.
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

// LogAge is how long ago this host itself last read the log.
func (c *configWatch) LogAge() time.Duration {
	return boottime.Now() - time.Duration(c.logAt.Load())
}

// peerConfig is what another host knows of the configuration.
type peerConfig struct {
	version int64
	age     time.Duration // how long ago it was certainly the newest
	raw     []byte        // empty if it is the version that was named
}

// askPeers takes over the configuration of a host that reaches the log. Without
// it, a host that the log turns away would refuse every key once its own
// configuration is too old to trust.
func (c *configWatch) askPeers(ctx context.Context) {
	var have int64
	if now := c.config.Load(); now != nil {
		have = now.Version
	}
	sent := boottime.Now()
	got, err := c.peers(ctx, have)
	if err != nil {
		return // the log's own failure is logged already; the age tells the rest
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

// PeerContact reports whether another host that reaches the log has confirmed
// the configuration lately.
func (c *configWatch) PeerContact() bool {
	return boottime.Now()-time.Duration(c.peerAt.Load()) < peerContactLife
}

// note logs when the log is lost and regained.
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
		// The history may be dropped at any time; the newest record of each key
		// stays.
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
			c.log.WithError(err).Warn("record of the operators cannot be read")
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

// take puts a configuration in force, unless it is older than the one in force:
// a read of the whole topic may show what a later read has passed already.
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
