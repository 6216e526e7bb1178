package admin

import (
	"context"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
)

// Backend answers operators. An entry host implements it.
//
// An error that is a *problem.Problem or a fleet.Rejection is told to the
// operator as it is. Every other error is told as a fault of the host with an
// unknown outcome.
type Backend interface {
	// Plan computes what an intent would change. Nothing changes.
	Plan(ctx context.Context, operator string, intent fleet.Intent) (fleet.Plan, error)
	// Confirm appends the plan's change and waits until this host has folded
	// it. Confirming one plan twice has one effect.
	Confirm(ctx context.Context, operator string, plan fleet.Plan) (Confirmation, error)

	Status(ctx context.Context) (Status, error)
	Teams(ctx context.Context) ([]TeamStatus, error)
	Keys(ctx context.Context) ([]KeyStatus, error)
	Workers(ctx context.Context) ([]WorkerStatus, error)
	Hosts(ctx context.Context) ([]HostStatus, error)
	// History lists the newest entries first, at most limit of them.
	History(ctx context.Context, limit int) ([]HistoryEntry, error)
	// Explain says where a job stands and why. A job that is not known gives a
	// *problem.Problem of problem.TypeNotFound.
	Explain(ctx context.Context, job ident.JobID) (Explanation, error)
}
