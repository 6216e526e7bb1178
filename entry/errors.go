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
