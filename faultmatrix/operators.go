package faultmatrix

import (
	"errors"
	"math/rand"
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
)

// teams of a cell. The second has a limit low enough to be reached.
var teams = []ident.TeamID{"grants", "billing"}

// Limits of the teams, in units.
const (
	grantsLimit   = 24
	billingLimit  = 5
	billingRaised = 12 // at the end of the load
)

// operators change the configuration, straight in the log as their tools do.
type operators struct {
	w    *World
	rand *rand.Rand // of keys; an io.Reader
	keys map[ident.TeamID]string
	// leaving holds the key of a team that is being withdrawn.
	leaving map[ident.TeamID]string
	old     map[ident.TeamID]string // withdrawn, and still used by somebody

	changes []configChange // that the log took
}

// configChange is a change that is to be in force everywhere.
type configChange struct {
	at     time.Duration
	offset ports.Offset
}

func newOperators(w *World) *operators {
	return &operators{w: w, rand: rand.New(rand.NewSource(1)), keys: map[ident.TeamID]string{}, leaving: map[ident.TeamID]string{}, old: map[ident.TeamID]string{}}
}

func (o *operators) key(team ident.TeamID) string { return o.keys[team] }

// plan makes a plan against the newest configuration.
func (o *operators) plan(who string, intent fleet.Intent) (fleet.Plan, error) {
	return fleet.MakePlan(o.w.config(), intent, who, o.w.wall(), fleet.NoImpact{})
}

// confirm appends a plan. It reports whether the log took it.
func (o *operators) confirm(who string, plan fleet.Plan) bool {
	data, err := fleet.EncodeChange(plan.Change(who, o.w.wall()))
	if err != nil {
		panic(err) // every plan of a cell can be rendered
	}
	offset, err := o.w.log.Append(o.w.Now(), configStream, [][]byte{data})
	var lost *standin.LostAnswerError
	if errors.As(err, &lost) {
		offset, err = lost.Offset, nil // the operator's tool reads the stream and finds its record
	}
	if err != nil {
		return false
	}
	o.changes = append(o.changes, configChange{o.w.Now(), offset})
	return true
}

// retryChange is when an operator tries again while the log is down.
const retryChange = time.Second

// change plans and confirms an intent, and tries again until the log takes it.
func (o *operators) change(intent fleet.Intent, then func()) {
	plan, err := o.plan("asha", intent)
	var nothing *fleet.NothingError
	if errors.As(err, &nothing) {
		then()
		return
	}
	if err != nil {
		panic(err) // every intent of a cell can be met
	}
	if o.confirm("asha", plan) {
		then()
		return
	}
	o.w.After(retryChange, func() { o.change(intent, then) })
}

func (o *operators) newKey(team ident.TeamID) (string, fleet.WantKey) {
	key, id, hash, err := fleet.NewKey(o.rand)
	if err != nil {
		panic(err) // the source of a cell's keys never fails
	}
	return key, fleet.WantKey{Action: fleet.KeyGive, Team: team, Key: id, Hash: hash}
}

// configure writes the first configuration.
func (o *operators) configure() {
	intent := fleet.Intent{}
	for i, limit := range []int64{grantsLimit, billingLimit} {
		share := int64(1)
		key, want := o.newKey(teams[i])
		o.keys[teams[i]] = key
		intent.Teams = append(intent.Teams, fleet.WantTeam{Team: teams[i], Share: &share, Limit: &limit})
		intent.Keys = append(intent.Keys, want)
		o.w.hist.limit(0, teams[i], limit)
	}
	replicas := 2
	intent.Services = []fleet.WantService{{
		Service: "portal", Team: &teams[0], Replicas: &replicas, Need: &resource.Vector{MilliCPU: 250, MemoryMiB: 128},
	}}
	o.change(intent, func() {})
}

// withdrawKey gives a team a new key and withdraws the old one.
func (o *operators) withdrawKey(team ident.TeamID) {
	old := o.keys[team]
	if o.leaving[team] == old {
		return // an earlier fault withdraws it already, as soon as the log takes it
	}
	o.leaving[team] = old
	key, want := o.newKey(team)
	withdraw := fleet.WantKey{Action: fleet.KeyWithdraw, Key: fleet.KeyIDOf(old)}
	o.change(fleet.Intent{Keys: []fleet.WantKey{want, withdraw}}, func() {
		o.keys[team] = key
		o.old[team] = old
		o.w.hist.withdrawn(o.w.Now(), old)
	})
}

// setLimit changes a team's upper limit.
func (o *operators) setLimit(team ident.TeamID, limit int64) {
	o.change(fleet.Intent{Teams: []fleet.WantTeam{{Team: team, Limit: &limit}}}, func() {
		o.w.hist.limit(o.w.Now(), team, limit)
	})
}

// race lets two operators confirm plans that contradict each other, both made
// against the same configuration. The first to reach the log wins.
func (o *operators) race() {
	low, high := int64(3), int64(9)
	first, err1 := o.plan("asha", fleet.Intent{Teams: []fleet.WantTeam{{Team: teams[1], Limit: &low}}})
	second, err2 := o.plan("bo", fleet.Intent{Teams: []fleet.WantTeam{{Team: teams[1], Limit: &high}}})
	if err1 != nil || err2 != nil {
		return // the limit is one of the two already
	}
	firstIn := o.confirm("asha", first)
	secondIn := o.confirm("bo", second)
	switch {
	case firstIn:
		o.w.hist.limit(o.w.Now(), teams[1], low)
	case secondIn:
		o.w.hist.limit(o.w.Now(), teams[1], high)
	}
}

// drainUpstream marks a worker as leaving and lists it so.
func (o *operators) drainUpstream(worker ident.WorkerID) {
	entry := o.w.workers[worker].Config().Entry(string(worker))
	entry.State = ports.StateLeaving
	o.w.list.Change(o.w.Now(), standin.HostChange{Workers: []ports.WorkerEntry{entry}})
	o.w.hist.leaves(o.w.Now(), worker)
}
