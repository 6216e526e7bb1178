package logwriter

import (
	"context"
	"time"

	"github.com/fireflyfold/fireflyfold/platform"
)

const (
	// hedgeFactor times the mean latency of the store is the delay after which a call without
	// a response is sent again, beside the first. The latency of a healthy store varies by less
	// than this factor.
	hedgeFactor = 3
	// minHedgeDelay is the minimum of that delay, so that a pause of this process does not
	// count as a lost response.
	minHedgeDelay = 40 * time.Millisecond
	// maxSends bounds how many times a call is sent in one try. The delay doubles each time, so
	// that a slow store gets little extra load.
	maxSends = 5
)

// attempt is the result of sending a call once.
type attempt struct {
	err  error
	took time.Duration // from sending to the response
}

// appendHedged makes a call as a hedged request: as long as it has no response, it is sent
// again on another connection. Its sequence number is the idempotency key: the store executes
// the call once and gives the same response to each sending.
//
// It guards against a store that executes calls but loses some of the responses, each of which
// would cost a whole timeout: with a third of them lost, the median time to accept a submission
// was 200 ms instead of 11. Earlier sendings are not cancelled, so that a store that is slow for
// all hosts can still respond to the first one.
func (w *Writer) appendHedged(ctx context.Context, timeout time.Duration, a platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ended := make(chan attempt, maxSends)
	send := func() {
		w.calls.Go(func() {
			sentAt := w.now()
			_, err := w.store.Append(ctx, timeout, a)
			ended <- attempt{err: err, took: w.now() - sentAt}
		})
	}
	send()
	sent, pending, wait := 1, 1, w.hedgeDelay()
	next := time.NewTimer(wait)
	defer next.Stop()
	unresponsive := time.NewTimer(max(unresponsiveAfter, unresponsiveFactor*w.LastLatency()))
	defer unresponsive.Stop()
	var unknownOutcome error
	for {
		select {
		case e := <-ended:
			pending--
			switch {
			case conclusive(e.err):
				w.observeLatency(e.took)
				return e.err
			case !platform.IsRefused(e.err):
				unknownOutcome = e.err
			}
			if pending == 0 {
				if unknownOutcome != nil {
					return unknownOutcome
				}
				return e.err
			}
		case <-unresponsive.C:
			w.markUnhealthy()
		case <-next.C:
			if sent == maxSends {
				continue
			}
			send()
			sent, pending, wait = sent+1, pending+1, 2*wait
			next.Reset(wait)
		}
	}
}

// conclusive reports whether a response determines the outcome of the call, whichever of its
// sendings it belongs to.
func conclusive(err error) bool {
	return err == nil || platform.IsInvalid(err) || platform.Fenced(err) || platform.OutOfSequence(err)
}

// hedgeDelay returns the time without a response after which a call is sent again.
func (w *Writer) hedgeDelay() time.Duration {
	return max(hedgeFactor*max(w.meanLatency, w.LastLatency()), minHedgeDelay)
}

// observeLatency records the time from one sending to its response. The delays before that
// sending are not included: otherwise each lost response would make later repeats later still.
func (w *Writer) observeLatency(took time.Duration) {
	w.lastLatency.Store(int64(took))
	w.meanLatency += (took - w.meanLatency) / latencyWindow
}
