package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/problem"
)

// show serves what a method of the backend answers without arguments.
func show[T any](h *Handler, get func(context.Context) (T, error)) httprouter.Handle {
	return h.operator(func(_ http.ResponseWriter, c call) (any, error) {
		return get(c.request.Context())
	})
}

// problemOf tells an operator what an error means and what to do next. Of a
// confirmation that may have been appended it says so: the operator must not
// read it as "not changed".
func problemOf(err error) *problem.Problem {
	var (
		told        *problem.Problem
		rejection   fleet.Rejection
		unavailable *ports.UnavailableError
		notSent     *ports.NotSentError
		uncertain   *ports.UncertainError
	)
	switch {
	case errors.As(err, &told):
		return told
	case errors.As(err, &rejection):
		return problem.NotRun(rejectionType(rejection), rejection.Error())
	case errors.As(err, &unavailable):
		return problem.NotRun(problem.TypeLogDown, "nothing changed; confirm the plan again later").After(unavailable.RetryAfter)
	case errors.As(err, &notSent):
		return problem.NotRun(problem.TypeLogDown, "nothing changed; confirm the plan again later")
	case errors.As(err, &uncertain):
		return problem.Unknown(problem.TypeLogDown,
			"the change may be in force; confirm the same plan again: it takes effect once however often it is confirmed")
	}
	return problem.Unknown(problem.TypeInternal, err.Error())
}

// rejectionType returns the class of problem that a rejection belongs to.
func rejectionType(rejection fleet.Rejection) problem.Type {
	switch rejection.(type) {
	case *fleet.StaleError, *fleet.ExpiredError:
		return problem.TypeStalePlan
	case *fleet.MalformedError, *fleet.EditedError, *fleet.FutureError:
		return problem.TypeMalformed
	case *fleet.MissingError:
		return problem.TypeNotFound
	}
	return problem.TypeRefused
}
