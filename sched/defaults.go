package sched

import "time"

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	if o.Limits == nil {
		o.Limits = Unlimited{}
	}
	defaultDuration(&o.HoldAfter, 2*time.Second)
	defaultDuration(&o.HoldFor, 10*time.Minute)
	defaultDuration(&o.DueAfter, 5*time.Minute)
	defaultDuration(&o.UrgentDueAfter, 2*time.Second)
	defaultDuration(&o.BackoffMin, time.Second)
	defaultDuration(&o.BackoffMax, 5*time.Minute)
	defaultDuration(&o.QuarantineMin, 30*time.Second)
	defaultDuration(&o.QuarantineMax, 15*time.Minute)
	defaultInt(&o.MaxDisplaced, 3)
	defaultInt(&o.MaxAttempts, 5)
	defaultInt(&o.QuarantineAfter, 3)
	defaultInt(&o.MaxWaiting, 50_000)
	if o.UrgentOver == 0 {
		o.UrgentOver = 1.5
	}
	return o
}

func defaultDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// exponentialBackoff returns least, doubled once for each earlier attempt, up to
// most.
func exponentialBackoff(least, most time.Duration, earlier int) time.Duration {
	for delay := least; ; delay *= 2 {
		if earlier <= 0 || delay >= most {
			return min(delay, most)
		}
		earlier--
	}
}
