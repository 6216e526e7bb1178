package entry

import (
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// impact tells what a change would touch, from what the hosts that could be
// asked say of themselves. It implements fleet.Impact.
type impact struct {
	survey survey
}

// Team implements fleet.Impact. Which waiting jobs a lower limit would stop is
// not known before their zone decides.
func (i *impact) Team(team ident.TeamID, _ int64) fleet.Touched {
	t := i.touched()
	for _, f := range i.survey.hosts {
		for _, u := range f.Facts.Units {
			if u.Team == team {
				t.Units += u.Used
			}
		}
	}
	t.Running = int(t.Units)
	return t
}

// Service implements fleet.Impact.
func (i *impact) Service(ident.ServiceID) fleet.Touched { return i.touched() }

// Worker implements fleet.Impact.
func (i *impact) Worker(worker ident.WorkerID) fleet.Touched {
	t := i.touched()
	i.onWorker(worker, func(w engine.WorkerFacts) {
		t.Running += w.Tasks
		if w.SlotsHeld {
			t.Running += int(w.Requests)
		}
		if w.Tasks > 0 {
			t.Units += resource.LimitUnits(w.Used)
		}
	})
	return t
}

// Upstream implements fleet.Impact.
func (i *impact) Upstream(worker ident.WorkerID) fleet.Touched {
	t := i.touched()
	i.onWorker(worker, func(w engine.WorkerFacts) {
		if w.SlotsHeld {
			t.Running += int(w.Requests)
		}
	})
	return t
}

// Host implements fleet.Impact.
func (i *impact) Host(host ident.HostID) fleet.Touched {
	t := i.touched()
	for _, f := range i.survey.hosts {
		if f.Host == host {
			t.Running = int(f.Facts.InFlight)
			t.Waiting = f.Facts.WaitingReqs
		}
	}
	return t
}

func (i *impact) touched() fleet.Touched { return fleet.Touched{Partial: i.survey.partial} }

func (i *impact) onWorker(worker ident.WorkerID, count func(engine.WorkerFacts)) {
	for _, f := range i.survey.hosts {
		for _, w := range f.Facts.Workers {
			if w.Entry.Worker == worker {
				count(w)
			}
		}
	}
}
