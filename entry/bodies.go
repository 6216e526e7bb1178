package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/fireflyfold/fireflyfold/problem"
)

// byteBudget bounds the memory that request bodies take together.
type byteBudget struct {
	left atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	b := &byteBudget{}
	b.left.Store(limit)
	return b
}

// reserve takes n bytes, or reports false if they are not there.
func (b *byteBudget) reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *byteBudget) release(n int64) { b.left.Add(n) }

func malformed(name, value, allowed string) *problem.Problem {
	p := problem.NotRun(problem.TypeMalformed, name+" must be "+allowed)
	p.Fields = []problem.Field{{Name: name, Value: value, Allowed: allowed}}
	return p
}

func tooLarge(limit int64) *problem.Problem {
	return problem.NotRun(problem.TypeTooLarge, "the body is over the limit of "+strconv.FormatInt(limit, 10)+" bytes")
}
