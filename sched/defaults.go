package sched

import "time"

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	if o.Limits == nil {
		o.Limits = Unlimited{}
	}
	orDuration(&o.HoldAfter, 2*time.Second)
	orDuration(&o.HoldFor, 10*time.Minute)
	orDuration(&o.Patience, 5*time.Minute)
	orDuration(&o.UrgentPatience, 2*time.Second)
	orDuration(&o.BackoffMin, time.Second)
	orDuration(&o.BackoffMax, 5*time.Minute)
	orDuration(&o.QuarantineMin, 30*time.Second)
	orDuration(&o.QuarantineMax, 15*time.Minute)
	orInt(&o.MaxDisplaced, 3)
	orInt(&o.MaxAttempts, 5)
	orInt(&o.QuarantineAfter, 3)
	orInt(&o.MaxWaiting, 50_000)
	if o.UrgentOver == 0 {
		o.UrgentOver = 1.5
	}
	return o
}

func orDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func orInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// doubled returns an exponential backoff: least, doubled once for each earlier
// attempt, up to most.
func doubled(least, most time.Duration, earlier int) time.Duration {
	for delay := least; ; delay *= 2 {
		if earlier <= 0 || delay >= most {
			return min(delay, most)
		}
		earlier--
	}
}
