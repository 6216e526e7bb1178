// Package localfleet runs a whole deployment in one process: the platform's
// stand-in and every entry host, each on loopback ports of its own. The demo,
// tests and measurements use it; the entry hosts are the real ones and meet
// each other and the platform over TCP only.
package localfleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/entry"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// OperatorToken is the token of the operator "tour" on every host.
const OperatorToken = "operator-token-for-the-tour"

// Options describe the fleet.
type Options struct {
	Layout    standin.Layout
	TeamLimit int64                                   // units of each team's upper limit; zero for 400
	Adjust    func(*settings.Settings)                // changes the settings of every host; may be nil
	Engine    engine.Options                          // base of every engine's options
	Telemetry func(ident.HostID) *telemetry.Telemetry // nil discards
	// Entry changes how every host meets the platform; may be nil.
	Entry func(*entry.Options)
}

// defaultTeamLimit is the upper limit of each team in units.
const defaultTeamLimit = 400

// Fleet is a running deployment.
type Fleet struct {
	Platform *standin.Platform
	Keys     map[ident.TeamID]string // one key for each team

	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu    sync.Mutex
	hosts map[ident.HostID]*Member
	order []ident.HostID
}

// Member is one entry host of the fleet.
type Member struct {
	ID   ident.HostID
	Zone ident.Zone
	Host *entry.Host

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts the platform, gives every team a key and a limit, and starts
// the entry hosts. Close ends it all.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	if opts.TeamLimit == 0 {
		opts.TeamLimit = defaultTeamLimit
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Platform: standin.NewPlatform(opts.Layout, ""),
		Keys:     map[ident.TeamID]string{},
		opts:     opts,
		ctx:      ctx,
		cancel:   cancel,
		hosts:    map[ident.HostID]*Member{},
	}
	if err := f.Platform.Start(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := f.configure(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops the hosts and the platform.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	f.Platform.Close()
}

// configure writes the teams into the configuration stream as an operator
// would: a plan, confirmed.
func (f *Fleet) configure() error {
	intent := fleet.Intent{}
	one := int64(1)
	for _, team := range f.opts.Layout.Teams {
		key, id, hash, err := fleet.NewKey(rand.Reader)
		if err != nil {
			return err
		}
		f.Keys[team] = key
		intent.Teams = append(intent.Teams, fleet.WantTeam{Team: team, Share: &one, Limit: &f.opts.TeamLimit})
		intent.Keys = append(intent.Keys, fleet.WantKey{Action: fleet.KeyGive, Team: team, Key: id, Hash: hash})
	}
	return f.change(fleet.Empty(), intent)
}

// change plans and confirms an intent against a state, as an operator would.
func (f *Fleet) change(state *fleet.State, intent fleet.Intent) error {
	now := time.Now().UTC()
	plan, err := fleet.MakePlan(state, intent, operator, now, fleet.NoImpact{})
	if err != nil {
		return err
	}
	data, err := fleet.EncodeChange(plan.Change(operator, now))
	if err != nil {
		return err
	}
	_, err = f.Platform.Log.Append(f.Platform.Now(), engine.ConfigStream, [][]byte{data})
	return err
}

// Change plans and confirms an intent against the configuration as the log has
// it now.
func (f *Fleet) Change(intent fleet.Intent) error {
	follower := fleet.NewFollower()
	page, _, err := f.Platform.Log.Read(f.Platform.Now(), engine.ConfigStream, 0, maxConfig)
	if err != nil {
		return err
	}
	if _, err := follower.Add(page); err != nil {
		return err
	}
	return f.change(follower.State(), intent)
}

// WithdrawKey withdraws the key of a team.
func (f *Fleet) WithdrawKey(team ident.TeamID) error {
	return f.Change(fleet.Intent{Keys: []fleet.WantKey{{Action: fleet.KeyWithdraw, Key: fleet.KeyIDOf(f.Keys[team])}}})
}

const (
	operator  = "tour"
	maxConfig = 10_000 // records read to learn the configuration
)

// template is the settings file of a host, but for its addresses.
const template = `
[host]
name = %s
zone = %s
api  = 127.0.0.1:1
peer = 127.0.0.1:2
[platform]
log   = %s
hosts = %s
[zones]
configured = %s
[peers]
secret = secret-of-the-local-fleet
[operators]
tour = %x
`

func (f *Fleet) settings(zone ident.Zone, id ident.HostID) (*settings.Settings, error) {
	zones := ""
	for i, z := range f.opts.Layout.Zones {
		if i > 0 {
			zones += ", "
		}
		zones += string(z.Zone)
	}
	addr := f.Platform.ZoneAddr(zone)
	text := fmt.Sprintf(template, id, zone, addr, addr, zones, sha256.Sum256([]byte(OperatorToken)))
	s, err := settings.Parse(string(id), []byte(text))
	if err != nil {
		return nil, err
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0") // the kernel picks the ports
	s.Host.API = loopback
	s.Host.Peer = loopback
	if f.opts.Adjust != nil {
		f.opts.Adjust(&s)
	}
	return &s, nil
}

// startAll lists all hosts before the first of them runs, as a platform does
// that has known them for long. Hosts that appear one by one would pass the
// zone's scheduling on with each newcomer.
func (f *Fleet) startAll() error {
	var members []*Member
	for _, zone := range f.opts.Layout.Zones {
		for _, id := range zone.HostIDs() {
			m, err := f.newMember(zone.Zone, id)
			if err != nil {
				return err
			}
			members = append(members, m)
		}
	}
	for _, m := range members {
		f.launch(m)
	}
	return nil
}

// StartHost starts an entry host under a name, as a new life if the name was
// used before, and lists it as live.
func (f *Fleet) StartHost(zone ident.Zone, id ident.HostID) error {
	m, err := f.newMember(zone, id)
	if err != nil {
		return err
	}
	f.launch(m)
	return nil
}

// newMember builds a host, which listens, and lists it.
func (f *Fleet) newMember(zone ident.Zone, id ident.HostID) (*Member, error) {
	s, err := f.settings(zone, id)
	if err != nil {
		return nil, err
	}
	tel := telemetry.Discard()
	if f.opts.Telemetry != nil {
		tel = f.opts.Telemetry(id)
	}
	opts := entry.WithPlatform(entry.Options{Settings: s, Telemetry: tel, Engine: f.opts.Engine})
	if f.opts.Entry != nil {
		f.opts.Entry(&opts)
	}
	host, err := entry.New(opts)
	if err != nil {
		return nil, err
	}
	f.Platform.ChangeHosts(standin.HostChange{Hosts: []ports.HostEntry{{
		Host: id, Zone: zone, Addr: host.PeerAddr(), State: ports.StateLive,
	}}})
	return &Member{ID: id, Zone: zone, Host: host, done: make(chan struct{})}, nil
}

func (f *Fleet) launch(m *Member) {
	ctx, cancel := context.WithCancel(f.ctx)
	m.cancel = cancel
	f.mu.Lock()
	if _, known := f.hosts[m.ID]; !known {
		f.order = append(f.order, m.ID)
	}
	f.hosts[m.ID] = m
	f.mu.Unlock()
	f.wg.Go(func() { f.run(ctx, m) })
}

// run lets a host live, and starts a new life when it asks for one.
func (f *Fleet) run(ctx context.Context, m *Member) {
	m.err = m.Host.Run(ctx)
	close(m.done)
	var over *entry.ReincarnateError
	if errors.As(m.err, &over) && ctx.Err() == nil {
		_ = f.StartHost(m.Zone, m.ID) // a host that cannot start again stays dead
	}
}

// Limit returns the upper limit of each team in units.
func (f *Fleet) Limit() int64 { return f.opts.TeamLimit }

// Host returns the current life of a host, or nil.
func (f *Fleet) Host(id ident.HostID) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[id]
}

// Hosts lists the current lives in the order of the layout.
func (f *Fleet) Hosts() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*Member, 0, len(f.order))
	for _, id := range f.order {
		list = append(list, f.hosts[id])
	}
	return list
}

// Kill ends a host at once, as a crash would: its connections break and
// nothing is handed over. The platform's list does not notice.
func (f *Fleet) Kill(id ident.HostID) {
	if m := f.Host(id); m != nil {
		m.cancel()
		<-m.done
	}
}

// Unlist removes a host from the platform's list.
func (f *Fleet) Unlist(id ident.HostID) {
	f.Platform.ChangeHosts(standin.HostChange{GoneHosts: []ident.HostID{id}})
}

// Drain begins the planned stop of a host and returns when it is complete.
func (f *Fleet) Drain(id ident.HostID) {
	if m := f.Host(id); m != nil {
		m.Host.Drain()
		<-m.done
	}
}

// Running reports whether the host serves.
func (m *Member) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Done is closed when the host has stopped.
func (m *Member) Done() <-chan struct{} { return m.done }
