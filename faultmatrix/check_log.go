package faultmatrix

import (
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/standin"
)

// records replays the job streams and compares them with what ran: an attempt
// that the log says never started must not have run, and none may run that the
// log does not know.
func (c *checker) records() {
	started := map[string]bool{}
	for _, run := range c.runs {
		started[run.ID] = true
	}
	for _, zone := range zones {
		page, _, err := c.w.log.Read(c.w.Now(), jobs.StreamOf(zone), 0, standin.MaxPage)
		if err != nil {
			c.broken(PromiseRecovery, "the log of zone %s cannot be read at the end: %v", zone, err)
			continue
		}
		fold := jobs.NewFold()
		for _, rec := range page.Records {
			v := fold.Apply(rec.Offset, rec.Data)
			end := v.Record.Ended
			if v.Applied && end != nil && end.Result == jobs.ResultNeverStarted && started[end.Attempt.String()] {
				c.broken(PromiseNotRun, "attempt %v was recorded as never started and ran", end.Attempt)
			}
		}
	}
}
