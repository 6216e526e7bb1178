package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Team is a party that hands in work.
type Team struct {
	ID    ident.TeamID `json:"id"`
	Share int64        `json:"share"` // weight when the cell is full, at least one
	Limit int64        `json:"limit"` // units that may run at once over the whole fleet

	Created  ports.Offset `json:"created"`
	Revision ports.Offset `json:"revision"`
}

// Service is a long-running service whose replicas are kept at their count.
type Service struct {
	ID       ident.ServiceID `json:"id"`
	Team     ident.TeamID    `json:"team"`     // whose limit the replicas count against
	Replicas int             `json:"replicas"` // over the whole fleet; see ZoneReplicas
	Need     resource.Vector `json:"need"`     // of one replica
	// RequestTimeout bounds requests to this service; zero leaves it to the
	// settings of the entry host.
	RequestTimeout time.Duration `json:"request_timeout,omitempty"`
	Payload        string        `json:"payload,omitempty"` // handed to the worker

	Revision ports.Offset `json:"revision"`
}

// Mode says what an operator has marked a worker, an upstream or an entry host
// for.
type Mode string

// The modes of marks.
const (
	ModeNone   Mode = ""       // no mark
	ModeCordon Mode = "cordon" // takes nothing new; what runs goes on
	ModeDrain  Mode = "drain"  // takes nothing new; what runs ends, or is checkpointed and moved
)

// Mark is an operator's mark on one object.
type Mark struct {
	Mode     Mode         `json:"mode"`
	Reason   string       `json:"reason,omitempty"`
	Revision ports.Offset `json:"revision"`
}

// State is the configuration after the record at Offset. It is immutable;
// Apply gives the next one. The zero State is the empty configuration.
type State struct {
	offset ports.Offset
	teams  map[ident.TeamID]Team
	keys   map[KeyID]Key
	svcs   map[ident.ServiceID]Service
	marks  map[Ref]Mark // workers, upstreams and hosts
	gone   map[Ref]ports.Offset
	recent []Applied // accepted changes of the last PlanWindow records, oldest first
	snap   SnapshotInfo
}

// Empty returns the configuration before the first record.
func Empty() *State { return &State{} }

// Offset returns the offset of the last record that was applied.
func (s *State) Offset() ports.Offset { return s.offset }

// Team returns a team by its identifier.
func (s *State) Team(id ident.TeamID) (Team, bool) {
	t, ok := s.teams[id]
	return t, ok
}

// Teams returns all teams sorted by identifier.
func (s *State) Teams() []Team {
	return slices.SortedFunc(maps.Values(s.teams), func(a, b Team) int { return cmp.Compare(a.ID, b.ID) })
}

// Key returns a key by its identifier.
func (s *State) Key(id KeyID) (Key, bool) {
	k, ok := s.keys[id]
	return k, ok
}

// Keys returns all keys that are not withdrawn, sorted by team and identifier.
func (s *State) Keys() []Key {
	return slices.SortedFunc(maps.Values(s.keys), Key.compare)
}

// KeysOf returns the keys of one team, sorted by identifier.
func (s *State) KeysOf(team ident.TeamID) []Key {
	var out []Key
	for _, key := range s.keys {
		if key.Team == team {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, Key.compare)
	return out
}

// Service returns a service by its identifier.
func (s *State) Service(id ident.ServiceID) (Service, bool) {
	v, ok := s.svcs[id]
	return v, ok
}

// Services returns all services sorted by identifier.
func (s *State) Services() []Service {
	return slices.SortedFunc(maps.Values(s.svcs), Service.compare)
}

// ServicesOf returns the services of one team, sorted by identifier.
func (s *State) ServicesOf(team ident.TeamID) []Service {
	var out []Service
	for _, service := range s.svcs {
		if service.Team == team {
			out = append(out, service)
		}
	}
	slices.SortFunc(out, Service.compare)
	return out
}

// Marked is a marked object.
type Marked struct {
	Ref Ref `json:"ref"`
	Mark
}

// Marks returns all marks sorted by object.
func (s *State) Marks() []Marked {
	out := make([]Marked, 0, len(s.marks))
	for ref, mark := range s.marks {
		out = append(out, Marked{Ref: ref, Mark: mark})
	}
	slices.SortFunc(out, func(a, b Marked) int { return a.Ref.compare(b.Ref) })
	return out
}

// WorkerMode returns the mark on a worker, which governs its compute class.
func (s *State) WorkerMode(worker ident.WorkerID) Mode {
	return s.marks[WorkerRef(worker)].Mode
}

// UpstreamMode returns the mark that governs requests on a worker. A mark on
// the whole worker counts for its upstreams; of two marks the stronger counts.
func (s *State) UpstreamMode(worker ident.WorkerID) Mode {
	whole := s.WorkerMode(worker)
	if whole == ModeDrain {
		return ModeDrain
	}
	return cmp.Or(s.marks[UpstreamRef(worker)].Mode, whole)
}

// HostMode returns the mark on an entry host.
func (s *State) HostMode(host ident.HostID) Mode {
	return s.marks[HostRef(host)].Mode
}

// Revision returns the offset of the last record that touched an object, or
// zero. Removed objects are remembered for PlanWindow records.
func (s *State) Revision(ref Ref) ports.Offset {
	switch ref.Kind {
	case KindTeam:
		if t, ok := s.teams[ident.TeamID(ref.ID)]; ok {
			return t.Revision
		}
	case KindKey:
		if k, ok := s.keys[KeyID(ref.ID)]; ok {
			return k.Revision
		}
	case KindService:
		if v, ok := s.svcs[ident.ServiceID(ref.ID)]; ok {
			return v.Revision
		}
	case KindWorker, KindUpstream, KindHost:
		if m, ok := s.marks[ref]; ok {
			return m.Revision
		}
	}
	return s.gone[ref]
}

// LastChange tells which change touched an object last. It returns the zero
// Changed if that is not remembered: nothing touched it, or a removal is more
// than PlanWindow records ago.
func (s *State) LastChange(ref Ref) Changed {
	at := s.Revision(ref)
	if at == 0 {
		return Changed{}
	}
	return s.describe(ref, at)
}

// Withdrawn lists the keys that were withdrawn within the last PlanWindow
// records, the newest first.
func (s *State) Withdrawn() []Changed {
	var out []Changed
	for ref, at := range s.gone {
		if ref.Kind == KindKey {
			out = append(out, s.describe(ref, at))
		}
	}
	slices.SortFunc(out, func(a, b Changed) int {
		return cmp.Or(cmp.Compare(b.Offset, a.Offset), a.Object.compare(b.Object))
	})
	return out
}

// Recent returns the accepted changes of the last PlanWindow records, oldest
// first.
func (s *State) Recent() []Applied { return slices.Clone(s.recent) }

// Snapshot tells which snapshot in the stream is the newest.
func (s *State) Snapshot() SnapshotInfo { return s.snap }

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Team, o.Team), cmp.Compare(k.ID, o.ID))
}

func (v Service) compare(o Service) int { return cmp.Compare(v.ID, o.ID) }
