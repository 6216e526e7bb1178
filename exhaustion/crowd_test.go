package exhaustion

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// writeTimeout ends the writes of a member whose bytes nobody reads. It keeps its connection.
	writeTimeout = 15 * time.Second
	// attempts is how often a member connects again after its connection was closed.
	attempts = 3
)

// member writes what one client of a crowd sends on a connection, up to where it stops.
type member func(w *bufio.Writer) error

// crowd is clients that keep their connections open once they have written.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// press lets n members connect to an address at once, and returns when each has written all it sends,
// was cut off as often as attempts says, or is not read any more. The connections stay open until the
// end of the test, and nothing is read from them.
func press(t *testing.T, address string, n int, m member) {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var all sync.WaitGroup
	for range n {
		all.Go(func() { c.join(address, m) })
	}
	all.Wait()
}

func (c *crowd) join(address string, m member) {
	for range attempts {
		conn, err := net.DialTimeout("tcp", address, writeTimeout)
		if err != nil {
			continue
		}
		c.keep(conn)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
		w := bufio.NewWriterSize(conn, 64<<10)
		err = m(w)
		if err == nil {
			err = w.Flush()
		}
		if err == nil || isTimeout(err) {
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (c *crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the other side may have closed it
	}
}
