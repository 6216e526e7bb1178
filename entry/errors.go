package entry

import "fmt"

// CutAnswerError reports an answer that ended before its declared length.
type CutAnswerError struct {
	Declared, Received int64
}

// Error implements error.
func (e *CutAnswerError) Error() string {
	return fmt.Sprintf("answer cut: %d of %d bytes", e.Received, e.Declared)
}

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Role  string
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s on %s: %v", e.Role, e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// PeerProtocolError reports a peer's answer that breaks the protocol.
type PeerProtocolError struct {
	Detail string
}

// Error implements error.
func (e *PeerProtocolError) Error() string { return "peer protocol: " + e.Detail }

// RingFullError reports that an event was not taken because too many wait.
type RingFullError struct{}

// Error implements error.
func (e *RingFullError) Error() string { return "this host has too many events to deal with" }

// NoReplyError reports that the engine did not reply in time. What was asked
// may have taken effect.
type NoReplyError struct {
	Cause error
}

// Error implements error.
func (e *NoReplyError) Error() string { return "no reply: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// BodyMemoryError reports that the memory for request bodies is in use.
type BodyMemoryError struct{}

// Error implements error.
func (e *BodyMemoryError) Error() string { return "this host holds too many request bodies" }
