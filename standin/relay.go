package standin

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// RelayFaults are the faults of a relay that can be switched on and off. They
// act on open connections too.
type RelayFaults struct {
	Cut         bool          `json:"cut"`                 // resets connections, open and new
	Hang        bool          `json:"hang"`                // holds all bytes back and delivers them late, once it is over
	DropAnswers bool          `json:"drop_answers"`        // half-open: requests arrive, answers vanish
	Delay       time.Duration `json:"delay,omitempty"`     // added to each direction
	ByteRate    int           `json:"byte_rate,omitempty"` // bytes a second in each direction; zero for no bound
}

// Sizes of a relay.
const (
	relayChunk  = 32 << 10 // bytes read at once
	relayQueue  = 64       // chunks under way in each direction of a connection
	relayDialIn = 2 * time.Second
)

// Relay passes TCP connections on to one address and does harm to them on
// request.
type Relay struct {
	target   string
	listener net.Listener
	wg       conc.WaitGroup
	bytes    atomic.Int64 // delivered in both directions

	mu      sync.Mutex
	faults  RelayFaults
	changed chan struct{} // closed when the faults change
	conns   map[net.Conn]struct{}
	closed  bool
	done    chan struct{} // closed with the relay
}

// NewRelay returns a relay to an address (IP and port) that listens on a
// loopback port picked by the kernel. The error is a *ListenError.
func NewRelay(target string) (*Relay, error) { return newRelayAt(loopback, target) }

// newRelayAt returns a relay that listens on a given address.
func newRelayAt(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &ListenError{Addr: listen, Cause: err}
	}
	r := &Relay{
		target: target, listener: listener,
		changed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
		done: make(chan struct{}),
	}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFaults replaces the faults of the relay.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
	if f.Cut {
		r.reset()
	}
}

// Faults returns the faults that are on.
func (r *Relay) Faults() RelayFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Close ends the relay with all its connections and waits for that.
func (r *Relay) Close() {
	_ = r.listener.Close() // only ends accepting
	r.end()
	r.wg.Wait()
}

// end breaks all connections and wakes whoever waits.
func (r *Relay) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
	close(r.changed)
	r.changed = make(chan struct{})
	r.reset()
}

// reset breaks every open connection.
func (r *Relay) reset() {
	for conn := range r.conns {
		breakConn(conn)
	}
	clear(r.conns)
}

// breakConn closes a connection with a reset, so that the other side sees an
// error and not an end of data.
func breakConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // only makes the close harsher
	}
	_ = conn.Close() // nothing is left to save
}

// state returns the faults, a channel that is closed when they change, and
// whether the relay goes on.
func (r *Relay) state() (RelayFaults, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.changed, !r.closed
}

// track remembers a connection so that it can be broken. It reports false if
// the connection must not live.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.faults.Cut {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.pass(conn) })
	}
}

// pass joins a connection to the target until either side ends.
func (r *Relay) pass(near net.Conn) {
	defer breakConn(near)
	if !r.track(near) {
		return
	}
	defer r.untrack(near)
	far, err := net.DialTimeout("tcp", r.target, relayDialIn)
	if err != nil {
		return
	}
	defer breakConn(far)
	if !r.track(far) {
		return
	}
	defer r.untrack(far)
	var both conc.WaitGroup
	both.Go(func() { r.pump(near, far, false) })
	both.Go(func() { r.pump(far, near, true) })
	both.Wait()
}

// chunk is a piece of data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// pump moves data in one direction. A clean end of data is handed on as such;
// everything else breaks both sides.
func (r *Relay) pump(from, to net.Conn, answers bool) {
	queue := make(chan chunk, relayQueue)
	var reader conc.WaitGroup
	reader.Go(func() {
		defer close(queue)
		r.read(from, queue)
	})
	if r.write(to, queue, answers) {
		closeWrite(to)
	} else {
		breakConn(from)
		breakConn(to)
	}
	for range queue {
		// The reader must not block on a queue that nobody empties.
		continue
	}
	reader.Wait()
}

// closeWrite hands an end of data on.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // a broken connection needs no end
	}
}

// read queues what arrives until the connection ends.
func (r *Relay) read(from net.Conn, queue chan<- chunk) {
	buf := make([]byte, relayChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: slices.Clone(buf[:n]), due: time.Now().Add(r.Faults().Delay)}
		}
		if err != nil {
			return
		}
	}
}

// write delivers what is queued, each chunk when it is due and the faults let
// it pass. It reports whether everything was delivered.
func (r *Relay) write(to net.Conn, queue <-chan chunk, answers bool) bool {
	for c := range queue {
		r.wait(time.Until(c.due))
		faults, alive := r.unhang()
		if !alive || faults.Cut {
			return false
		}
		if answers && faults.DropAnswers {
			continue
		}
		// Counted first, so that whoever got an answer finds it counted.
		r.bytes.Add(int64(len(c.data)))
		if _, err := to.Write(c.data); err != nil {
			return false
		}
		if faults.ByteRate > 0 {
			r.wait(time.Duration(len(c.data)) * time.Second / time.Duration(faults.ByteRate))
		}
	}
	return true
}

// wait lets time pass, but not beyond the end of the relay.
func (r *Relay) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
	}
}

// unhang waits while the relay hangs. It reports false if the relay is closed.
func (r *Relay) unhang() (RelayFaults, bool) {
	for {
		faults, changed, alive := r.state()
		if !alive || !faults.Hang {
			return faults, alive
		}
		<-changed
	}
}
