// Package fleet holds what operators configure: teams with their shares and
// upper limits, keys, services, and marks on workers, upstreams and entry
// hosts.
//
// The configuration is a deterministic fold of one stream of the platform's
// log. Apply takes a State and one record and gives the next State; the same
// records give the same State on every host, and a record that is invalid is
// rejected whole, alike everywhere, with a typed reason. A State is immutable,
// so that any goroutine may read one while the next is made.
//
// An operator's change is a Plan, computed against the offset of a State.
// Confirming it appends a Change with that offset. The fold rejects the Change
// if an object that it touches has changed since, which settles every race
// between operators without a lock.
//
// The fold reads no clock. The one comparison of wall clocks is the end of an
// old key's overlap, in Authenticate; withdrawing a key needs no clock.
package fleet

import "github.com/fireflyfold/fireflyfold/ports"

// Stream is the log stream that the configuration is folded from.
const Stream ports.Stream = "config"
