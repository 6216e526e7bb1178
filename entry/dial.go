package entry

import (
	"errors"
	"net"
)

// notDialled reports whether err means that no connection was made, so that
// nothing can have been sent.
func notDialled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
