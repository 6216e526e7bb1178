package model

// CallFailure says why a call to a worker was not answered, or why its answer was not taken in. The
// zero value means that the call did not fail. It is reported; no decision rests on it.
type CallFailure uint8

// Reasons for which a call fails.
const (
	NoFailure         CallFailure = iota
	DialRefused                   // the worker's address refuses connections
	DialTimedOut                  // no connection was made in time
	DialFailed                    // no connection was made for another reason, such as no route
	HandshakeTimedOut             // a new connection was made, and its handshake was not answered in time
	HandshakeEnded                // a new connection ended before its handshake was answered, or with the answer
	CallTimedOut                  // the call was sent, and was not answered in time
	ConnectionEnded               // the worker's side ended the connection before the call was answered
	ConnectionReset               // the connection was reset before the call was answered
	TooManyCalls                  // this host's own limit of calls in flight to the worker refused it
	AnswerMalformed               // the answer cannot be decoded
	AnsweredByOther               // another incarnation, or another worker, answered
	RefusedByFence                // the worker has seen a higher fencing token
	RefusedByWorker               // the worker refused the call for another reason
	StatusUnknown                 // a status that no worker sends, such as that of an intermediary
	FailedOtherwise               // none of the above
	numCallFailures
)

var callFailureNames = [numCallFailures]string{
	NoFailure: "none", DialRefused: "dial_refused", DialTimedOut: "dial_timed_out", DialFailed: "dial_failed",
	HandshakeTimedOut: "handshake_timed_out", HandshakeEnded: "handshake_ended", CallTimedOut: "timed_out",
	ConnectionEnded: "connection_ended", ConnectionReset: "connection_reset", TooManyCalls: "too_many_calls",
	AnswerMalformed: "malformed", AnsweredByOther: "other_incarnation", RefusedByFence: "fenced",
	RefusedByWorker: "refused", StatusUnknown: "status_unknown", FailedOtherwise: "other",
}

// String returns the name of the reason in log lines and counters.
func (f CallFailure) String() string {
	if f >= numCallFailures {
		return callFailureNames[FailedOtherwise]
	}
	return callFailureNames[f]
}
