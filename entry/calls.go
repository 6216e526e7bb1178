package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ring"
)

// stepsOfCall bounds the commands that may wait for one call: the engine has
// at most one try in flight for a request, and then its end.
const stepsOfCall = 4

// call is a request while its caller waits for the answer.
type call struct {
	id            ident.TaskID
	team          ident.TeamID
	service       ident.ServiceID
	method        string
	path          string
	header        http.Header
	body          []byte
	deadline      time.Duration // on the host's clock
	nonIdempotent bool
	key           string // idempotency key to claim; empty for none
	hops          int
	steps         *ring.Ring[engine.Command]
}

// registry finds the call that a command is about.
type registry struct {
	mu    sync.Mutex
	calls map[ident.TaskID]*call
}

func newRegistry() *registry { return &registry{calls: map[ident.TaskID]*call{}} }

// add registers c and reports false if its identifier is in use.
func (r *registry) add(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.calls[c.id]; taken {
		return false
	}
	c.steps = ring.New[engine.Command](stepsOfCall)
	r.calls[c.id] = c
	return true
}

func (r *registry) remove(id ident.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
}

// deliver hands cmd to the goroutine of the call, and reports false if there
// is none.
func (r *registry) deliver(id ident.TaskID, cmd engine.Command) bool {
	r.mu.Lock()
	c, ok := r.calls[id]
	r.mu.Unlock()
	return ok && c.steps.TryPush(cmd)
}
