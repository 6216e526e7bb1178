package request

// Retry budget constants.
const (
	budgetGain = 0.1 // retries earned by one success
	budgetMax  = 20  // retries that can be saved up
	budgetInit = 5
)

// budget bounds retries to a share of successes. During an outage every
// request fails; retrying them all would multiply the load on the upstreams
// that are left just when they have least room. With the budget spent, a
// failure goes to the caller at once.
type budget struct {
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetInit} }

// earn credits one success.
func (b *budget) earn() { b.tokens = min(b.tokens+budgetGain, budgetMax) }

// spend takes one retry if there is one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
