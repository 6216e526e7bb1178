package engine

import (
	"maps"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/stream"
)

// demandTTL is how long a demand for units counts without being repeated.
const demandTTL = 2 * time.Second

// demand collects the limit units that waiting work lacks, by team.
type demand struct {
	requests map[ident.TeamID]unitDemand
	tasks    map[ident.TeamID]unitDemand
	reported map[ident.TeamID]int64
}

// unitDemand is a number of lacking units and when it was last reported.
type unitDemand struct {
	units int64
	at    time.Duration
	fresh bool // reported since the last tick; at is not set yet
}

func newDemand() demand {
	return demand{requests: map[ident.TeamID]unitDemand{}, tasks: map[ident.TeamID]unitDemand{}}
}

func (d *demand) request(team ident.TeamID, units int64) { recordDemand(d.requests, team, units) }

func (d *demand) task(team ident.TeamID, units int64) { recordDemand(d.tasks, team, units) }

// recordDemand records a demand. It keeps the largest since the last tick.
func recordDemand(demands map[ident.TeamID]unitDemand, team ident.TeamID, units int64) {
	w := demands[team]
	if w.fresh {
		units = max(units, w.units)
	}
	demands[team] = unitDemand{units: units, fresh: true}
}

// settle sets the time of fresh demands, removes expired ones and returns the
// sum of the rest by team.
func (d *demand) settle(now time.Duration) map[ident.TeamID]int64 {
	sum := map[ident.TeamID]int64{}
	for _, demands := range []map[ident.TeamID]unitDemand{d.requests, d.tasks} {
		for team, w := range demands {
			if w.fresh {
				w = unitDemand{units: w.units, at: now}
				demands[team] = w
			}
			if now-w.at > demandTTL {
				delete(demands, team)
				continue
			}
			sum[team] += w.units
		}
	}
	return sum
}

// tickDemand reports the demand to the ledger if it has changed.
func (e *Engine) tickDemand() {
	e.calls.expire(e.now)
	e.expireLingering()
	sum := e.demand.settle(e.now)
	if maps.Equal(sum, e.demand.reported) {
		return
	}
	e.demand.reported = sum
	e.stepUnits(ledger.Waiting{Units: sum})
}

func (e *Engine) stepUnits(ev stream.Event) {
	e.unitsPump.run(e.units.Step(e.now, ev), e.unitsCommand)
}

func (e *Engine) unitsCommand(cmd stream.Command) {
	switch cmd := cmd.(type) {
	case ledger.Append:
		e.emit(AppendGroup{Append: cmd})
	case ledger.Read:
		e.emit(ReadStream{Read: cmd})
	case ledger.Ask:
		e.askUnits(cmd)
	case ledger.Joined:
		e.note(NoteUnits, "joined the ledger of limit units")
	case ledger.Changed:
		e.unitsChanged(cmd.Teams)
	case ledger.Reclaimed:
		e.reclaimed(cmd.Dead)
	case ledger.ReclaimVoid:
		e.reclaimVoid(cmd.Dead)
	case ledger.Dethroned:
		e.reincarnate(cmd.By)
	case ledger.HandedOver:
		e.handedOver(cmd.ID)
	case ledger.HandOverVoid:
		e.handOverVoid(cmd.ID)
	case ledger.Incomplete:
		e.note(NoteUnits, "records of the limit units expired before they were written again; no unit can be used until a snapshot or a reset")
	case ledger.Left:
		e.reclaim.left = true
	}
}

func (e *Engine) askUnits(cmd ledger.Ask) {
	for _, p := range e.view.Hosts {
		if p.Host == cmd.Peer.Host {
			e.emit(AskUnits{Peer: cmd.Peer, Addr: p.Addr, Team: cmd.Team, Units: cmd.Units, Lack: cmd.Lack, Seq: cmd.Seq})
			return
		}
	}
}

// unitsChanged lets the request path and the scheduler start work that waited
// for units.
func (e *Engine) unitsChanged(teams []ident.TeamID) {
	e.stepRouter(request.Tick{})
	for _, team := range teams {
		e.stepSched(sched.LimitChanged{Team: team})
	}
}

// reincarnate stops this incarnation of the host. Its units were taken over by
// other hosts, so it must start nothing; its running tasks are counted by those
// hosts.
func (e *Engine) reincarnate(by ident.Holder) {
	e.dethroned = true
	reason := "its limit units were taken over"
	if !by.IsZero() {
		reason += " by " + by.String()
	}
	e.emit(Reincarnate{Reason: reason})
}
