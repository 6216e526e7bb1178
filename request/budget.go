package request

// Retry budget constants.
const (
	budgetGain = 0.1 // retries credited per success
	budgetMax  = 20  // retries that can be saved up
	budgetInit = 5
)

// budget limits the retries for one service to a fraction of its successes.
// During an outage every request fails, and retrying them all would multiply
// the load on the remaining upstreams when they have the least spare capacity.
// When the budget is exhausted, a failure is returned to the caller at once.
type budget struct {
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetInit} }

// earn credits the budget for one success.
func (b *budget) earn() { b.tokens = min(b.tokens+budgetGain, budgetMax) }

// spend takes one retry from the budget and reports whether one was available.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
