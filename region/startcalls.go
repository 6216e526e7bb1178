package region

import "time"

const (
	// maxCallDelay is the longest time for which the platform may hold a call that gets no
	// answer before a worker executes it.
	maxCallDelay = 12 * time.Second
	// maxTransit is the longest time for which a call that has timed out here may still be
	// on its way to the platform.
	maxTransit = time.Second
	// lateCallWindow is the longest time after its time-out at which a call without an
	// answer may still be executed.
	lateCallWindow = maxCallDelay + maxTransit
	// maxSendDelay is the longest time until a call is sent: the handshakes of a new
	// connection, and a leader's wait for its link.
	maxSendDelay = 3 * time.Second
	// inheritedWindow is the longest time after a leader was replaced at which a call of it
	// may be executed. It sends none once its leadership is not proved any more.
	inheritedWindow = leadershipProofTTL + maxSendDelay + lateCallWindow
)

// startCalls tracks the start calls of a run. A call is open while it may still be
// executed: until it is answered, or lateCallWindow is over, or its ticket has expired. One call of a run is in flight
// at a time.
type startCalls struct {
	fence          int64         // fencing token of the first that may have been executed; 0 if that is none of this leader's
	newestFence    int64         // fencing token of the newest
	expireAt       time.Duration // when the ticket that all of them carry has certainly expired; 0 if they need none
	inFlight       bool
	inFlightTill   time.Duration // end of the window of that call
	unanswered     int           // calls that timed out
	unansweredTill time.Duration // end of the window of the newest of these
	executed       bool          // one of the open calls was executed: the worker has listed the run
	confirmed      bool          // a call was answered, so a listed run does not show that an open one was executed
	inherited      int           // calls that earlier leaders have recorded and whose outcome is not known
	inheritedFence int64         // fencing token of the newest of these leaders
	logged         int           // calls that the log has a record of
	recorded       bool          // the log has a record that none is open
}

func (c *startCalls) sent(at time.Duration) {
	c.inFlight, c.inFlightTill = true, at+maxSendDelay+lateCallWindow
}

func (c *startCalls) answered(err CallError, now time.Duration) {
	if !c.inFlight {
		return
	}
	c.inFlight = false
	switch err {
	case CallNoAnswer:
		c.unanswered++
		c.unansweredTill = now + lateCallWindow
	case CallOK:
		c.executed, c.confirmed = false, true
	case CallOldRun: // it may have been executed, and the run have ended
	default:
		if c.unanswered == 0 {
			c.fence = 0
		}
	}
}

// neverExecuted reports, once a call was answered, whether it is known of each that it was not executed.
func (c *startCalls) neverExecuted() bool {
	return c.fence == 0 && c.inherited == 0 && !c.confirmed && !c.unsettled()
}

// runListed records that the worker has listed the run or its end. It shows that one call
// was executed, not which.
func (c *startCalls) runListed() {
	c.executed = !c.confirmed
	if c.inherited == 1 {
		c.inherited = 0
	}
}

// settle records that no call is open any more.
func (c *startCalls) settle() {
	c.inFlight, c.unanswered, c.inherited = false, 0, 0
}

// unsettled reports whether a call is not known to have been executed or refused, however
// long ago it was sent.
func (c *startCalls) unsettled() bool {
	n := c.unanswered
	if c.inFlight {
		n++
	}
	if c.executed {
		n--
	}
	return n > 0 || c.inherited > 0
}

// open reports whether a call may still be executed. inheritedSince is when the newest leader
// that has recorded one had certainly been replaced.
func (c *startCalls) open(now, inheritedSince time.Duration) bool {
	return c.unsettled() && now < c.closedAt(inheritedSince)
}

// closedAt returns from when on no call can be executed any more. A worker refuses one whose ticket
// has expired, whenever it arrives.
func (c *startCalls) closedAt(inheritedSince time.Duration) time.Duration {
	closed := c.unansweredTill
	if c.inFlight {
		closed = max(closed, c.inFlightTill)
	}
	if c.inherited > 0 {
		closed = max(closed, inheritedSince+inheritedWindow)
	}
	return c.closesBy(closed)
}

// closesBy returns from when on a call is not executed that may be until a time, but for its ticket.
func (c *startCalls) closesBy(until time.Duration) time.Duration {
	if c.expireAt > 0 {
		return min(until, c.expireAt)
	}
	return until
}
