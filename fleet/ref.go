package fleet

import (
	"cmp"

	"github.com/fireflyfold/fireflyfold/ident"
)

// ObjectKind is a kind of configured object.
type ObjectKind string

// The kinds of objects.
const (
	KindTeam     ObjectKind = "team"
	KindKey      ObjectKind = "key"
	KindService  ObjectKind = "service"
	KindWorker   ObjectKind = "worker"
	KindUpstream ObjectKind = "upstream" // the services that answer on one worker
	KindHost     ObjectKind = "host"
)

// Ref names one configured object.
type Ref struct {
	Kind ObjectKind `json:"kind"`
	ID   string     `json:"id"`
}

// String renders the reference as "kind id".
func (r Ref) String() string { return string(r.Kind) + " " + r.ID }

// compare orders references by kind, then by identifier.
func (r Ref) compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.Kind, o.Kind), cmp.Compare(r.ID, o.ID))
}

// TeamRef names a team.
func TeamRef(id ident.TeamID) Ref { return Ref{Kind: KindTeam, ID: string(id)} }

// KeyRef names a key.
func KeyRef(id KeyID) Ref { return Ref{Kind: KindKey, ID: string(id)} }

// ServiceRef names a service.
func ServiceRef(id ident.ServiceID) Ref { return Ref{Kind: KindService, ID: string(id)} }

// WorkerRef names a worker.
func WorkerRef(id ident.WorkerID) Ref { return Ref{Kind: KindWorker, ID: string(id)} }

// UpstreamRef names the upstreams that answer on a worker.
func UpstreamRef(id ident.WorkerID) Ref { return Ref{Kind: KindUpstream, ID: string(id)} }

// HostRef names an entry host.
func HostRef(id ident.HostID) Ref { return Ref{Kind: KindHost, ID: string(id)} }
