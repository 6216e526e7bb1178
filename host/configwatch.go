package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

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
	// peerConfirmationMaxAge is how long a confirmation by a peer counts as proof that peers
	// can be reached. Between two confirmations lie a failed read of the log and a
	// pause.
	peerConfirmationMaxAge = 2 * time.Second
	// readRetryDelay is the pause after a failed read of the configuration or the claims. It doubles
	// with each further failure up to maxReadRetryDelay: where the log turns away many hosts, they
	// also ask the same few others.
	readRetryDelay    = 100 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
)

// configWatch follows the operators' configuration in the log.
type configWatch struct {
	client *platform.Client
	log    *logrus.Entry

	drains          zoneDrains
	config          atomic.Pointer[model.Config]
	rawConfig       atomic.Pointer[[]byte] // encoded form of config, as the platform wrote it
	fetchFromPeers  func(ctx context.Context, have int64) (peerConfig, error)
	peerConfirmedAt atomic.Int64 // when a peer last confirmed the configuration
	confirmedAt     atomic.Int64 // send time of the newest read, here or at a peer, that confirmed config
	logReadAt       atomic.Int64 // send time of this host's own newest successful read of the log
	nextOffset      int64        // offset of the next record to read
	snapshotRead    bool         // the newest record of each key has been read
	logLost         bool         // the newest read of the log failed; used by run only
}

func newConfigWatch(client *platform.Client, log *logrus.Entry, metrics tally.Scope) *configWatch {
	c := &configWatch{client: client, log: log, drains: zoneDrains{log: log, metrics: metrics}}
	never := int64(boottime.Now() - time.Hour)
	c.logReadAt.Store(never)
	c.peerConfirmedAt.Store(never)
	c.confirmedAt.Store(never)
	return c
}

// Config returns the newest configuration known, or nil if there is none yet.
func (c *configWatch) Config() *model.Config { return c.config.Load() }

// ConfirmationAge returns how long ago the known configuration was last confirmed as the newest.
func (c *configWatch) ConfirmationAge() time.Duration {
	return boottime.Now() - time.Duration(c.confirmedAt.Load())
}

func (c *configWatch) run(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		sent := boottime.Now()
		caughtUp, err := c.readUpdates(ctx)
		c.logTransition(err)
		if err != nil {
			c.confirmThroughPeers(ctx)
			retry.sleep(ctx)
			continue
		}
		retry = backoff{}
		c.logReadAt.Store(int64(sent))
		if caughtUp {
			c.drains.confirm(sent)
			c.confirmedAt.Store(int64(sent))
		}
	}
}

// backoff is the pause between reads that fail one after the other. The zero value begins anew.
type backoff struct{ next time.Duration }

func (b *backoff) sleep(ctx context.Context) {
	b.next = min(max(2*b.next, readRetryDelay), maxReadRetryDelay)
	boottime.Sleep(ctx, b.next)
}

// LogReadAge returns how long ago this host's newest successful read of the log was sent.
func (c *configWatch) LogReadAge() time.Duration {
	return boottime.Now() - time.Duration(c.logReadAt.Load())
}

// peerConfig is another host's answer about the configuration.
type peerConfig struct {
	version int64
	age     time.Duration // time since it was confirmed as the newest
	raw     []byte        // empty if the version is not newer than the requested one
	drains  *model.ZoneDrains
}

// confirmThroughPeers fetches and confirms the configuration through a host that reaches the
// log. Without it, a host that the log refuses would refuse every key once its own
// configuration has gone unconfirmed for too long.
func (c *configWatch) confirmThroughPeers(ctx context.Context) {
	var have int64
	if current := c.config.Load(); current != nil {
		have = current.Version
	}
	sent := boottime.Now()
	got, err := c.fetchFromPeers(ctx, have)
	if err != nil {
		return // the failed read of the log is logged already, and the age of the confirmation shows the rest
	}
	if got.drains != nil && c.drains.confirmedByPeer(*got.drains) {
		c.snapshotRead = false
	}
	if len(got.raw) > 0 {
		c.apply(platform.KeyConfig, got.raw)
	}
	if current := c.config.Load(); current == nil || current.Version != got.version {
		return
	}
	if got.age < peerConfirmationMaxAge {
		c.peerConfirmedAt.Store(int64(sent))
	}
	if proven := int64(sent - got.age); proven > c.confirmedAt.Load() {
		c.confirmedAt.Store(proven)
	}
}

// PeerConfirmed reports whether another host that reaches the log has confirmed the
// configuration within peerConfirmationMaxAge.
func (c *configWatch) PeerConfirmed() bool {
	return boottime.Now()-time.Duration(c.peerConfirmedAt.Load()) < peerConfirmationMaxAge
}

// logTransition logs when the log becomes unreachable and when it is reached again.
func (c *configWatch) logTransition(err error) {
	switch {
	case err != nil && !c.logLost:
		c.logLost = true
		c.log.WithError(err).Warn("log lost: configuration cannot be confirmed")
	case err == nil && c.logLost:
		c.logLost = false
		c.log.Info("log regained: configuration confirmed")
	}
}

// readUpdates applies what operators have written since the newest read. caughtUp reports
// whether the log holds nothing newer.
func (c *configWatch) readUpdates(ctx context.Context) (caughtUp bool, err error) {
	if !c.snapshotRead {
		return true, c.readSnapshot(ctx)
	}
	b, err := c.client.ReadLog(ctx, configTimeout, platform.Read{Topic: platform.TopicOperators, From: c.nextOffset, Wait: configWait})
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		// The log may drop its history at any time but retains the newest record of
		// each key.
		c.snapshotRead = false
		return true, c.readSnapshot(ctx)
	}
	if err != nil {
		return false, err
	}
	c.nextOffset += int64(len(b.Records))
	for _, data := range b.Records {
		key, value, err := platform.DecodeKeyed(data)
		if err != nil {
			c.log.WithError(err).Warn("cannot decode a record of the operators' topic")
			continue
		}
		c.apply(key, value)
	}
	return c.nextOffset >= b.End, nil
}

// readSnapshot reads the newest record of each key.
func (c *configWatch) readSnapshot(ctx context.Context) error {
	items, next, err := c.client.Newest(ctx, configTimeout, platform.TopicOperators)
	if err != nil {
		return err
	}
	c.drains.replaceAll()
	for _, item := range items {
		c.apply(item.Key, item.Value)
	}
	c.nextOffset, c.snapshotRead = next, true
	return nil
}

// apply applies a record of the operators' topic. A configuration is put in force unless it
// is no newer than the current one: a read of all keys may return a version that an earlier
// read has already superseded.
func (c *configWatch) apply(key string, value []byte) {
	if key != platform.KeyConfig {
		c.drains.apply(key, value)
		return
	}
	next, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).Error("configuration rejected")
		return
	}
	if current := c.config.Load(); current != nil && next.Version <= current.Version {
		return
	}
	c.rawConfig.Store(&value)
	c.config.Store(next)
	c.log.WithFields(logrus.Fields{"version": next.Version, "queues": len(next.Queues), "keys": len(next.KeyOwner)}).
		Info("configuration in force")
}
