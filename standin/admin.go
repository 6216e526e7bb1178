package standin

import (
	"net/http"
	"strconv"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// HostListFaults are the faults of the host list.
type HostListFaults struct {
	Down bool `json:"down"`
}

// Admin serves the faults and the audit of a platform:
//
//	GET, PUT /faults/log             LogFaults
//	GET, PUT /faults/hosts           HostListFaults
//	GET, PUT /faults/worker/{worker} WorkerFaults
//	PUT      /faults/zone/{zone}     RelayFaults towards all zones and the platform
//	PUT      /faults/platform/{zone} RelayFaults towards the platform alone
//	PUT      /faults/between/{a}/{b} RelayFaults between two zones
//	PUT      /leaving/{worker}       lists a worker as leaving
//	GET      /audit                  Counts
//	GET      /audit/runs?id=         how often an identifier was started
//	GET      /audit/units?team=      Units of a team
//	GET      /audit/history?after=   []RunEvent, but for the first so many
//	GET      /traffic                Traffic
//
// Durations are in nanoseconds.
func (p *Platform) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults/log", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Log.Faults()) })
	mux.HandleFunc("PUT /faults/log", setter(func(_ *http.Request, f LogFaults) error {
		p.Log.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("PUT /faults/hosts", setter(func(_ *http.Request, f HostListFaults) error {
		p.Hosts.SetDown(f.Down)
		return nil
	}))
	mux.HandleFunc("GET /faults/worker/{worker}", p.workerFaults)
	mux.HandleFunc("PUT /faults/worker/{worker}", setter(p.setWorkerFaults))
	mux.HandleFunc("PUT /faults/zone/{zone}", setter(func(r *http.Request, f RelayFaults) error {
		return p.Network.Isolate(ident.Zone(r.PathValue("zone")), f)
	}))
	mux.HandleFunc("PUT /faults/platform/{zone}", setter(func(r *http.Request, f RelayFaults) error {
		return p.Network.SetPlatform(ident.Zone(r.PathValue("zone")), f)
	}))
	mux.HandleFunc("PUT /faults/between/{a}/{b}", setter(func(r *http.Request, f RelayFaults) error {
		p.Network.SetBetween(ident.Zone(r.PathValue("a")), ident.Zone(r.PathValue("b")), f)
		return nil
	}))
	mux.HandleFunc("PUT /leaving/{worker}", func(w http.ResponseWriter, r *http.Request) {
		done(w, p.MarkLeaving(ident.WorkerID(r.PathValue("worker"))))
	})
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Audit.Counts()) })
	mux.HandleFunc("GET /audit/runs", func(w http.ResponseWriter, r *http.Request) {
		reply(w, p.Audit.Runs(r.URL.Query().Get("id")))
	})
	mux.HandleFunc("GET /audit/units", func(w http.ResponseWriter, r *http.Request) {
		now, peak := p.Audit.Units(ident.TeamID(r.URL.Query().Get("team")))
		reply(w, Units{Now: now, Peak: peak})
	})
	mux.HandleFunc("GET /audit/history", p.auditHistory)
	mux.HandleFunc("GET /traffic", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Traffic()) })
	return mux
}

// Units are the limit units that a team's running tasks use now, and the most
// that they ever used at once.
type Units struct {
	Now  int64 `json:"now"`
	Peak int64 `json:"peak"`
}

func (p *Platform) auditHistory(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 32)
	if err != nil {
		problem(w, http.StatusBadRequest, ports.Problem{Detail: "after: want a number of events"})
		return
	}
	history := p.Audit.History()
	reply(w, history[min(int(after), len(history)):])
}

// setter decodes a body and hands it to a function.
func setter[T any](set func(*http.Request, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if readJSON(w, r, &value) {
			done(w, set(r, value))
		}
	}
}

// done answers an admin call.
func done(w http.ResponseWriter, err error) {
	if err != nil {
		problem(w, http.StatusNotFound, ports.Problem{Detail: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) workerFaults(w http.ResponseWriter, r *http.Request) {
	worker := p.Worker(ident.WorkerID(r.PathValue("worker")))
	if worker == nil {
		done(w, &UnknownNameError{Kind: "worker", Name: r.PathValue("worker")})
		return
	}
	reply(w, worker.State.Faults())
}

func (p *Platform) setWorkerFaults(r *http.Request, f WorkerFaults) error {
	worker := p.Worker(ident.WorkerID(r.PathValue("worker")))
	if worker == nil {
		return &UnknownNameError{Kind: "worker", Name: r.PathValue("worker")}
	}
	worker.State.SetFaults(p.clock(), f)
	return nil
}
