package fleet

import "github.com/fireflyfold/fireflyfold/ident"

// NoImpact is an Impact that knows of no work.
type NoImpact struct{}

// Team implements Impact.
func (NoImpact) Team(ident.TeamID, int64) Touched { return Touched{Partial: true} }

// Service implements Impact.
func (NoImpact) Service(ident.ServiceID) Touched { return Touched{Partial: true} }

// Worker implements Impact.
func (NoImpact) Worker(ident.WorkerID) Touched { return Touched{Partial: true} }

// Upstream implements Impact.
func (NoImpact) Upstream(ident.WorkerID) Touched { return Touched{Partial: true} }

// Host implements Impact.
func (NoImpact) Host(ident.HostID) Touched { return Touched{Partial: true} }
