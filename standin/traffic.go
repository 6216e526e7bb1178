package standin

import (
	"net"
	"sync/atomic"
)

// Traffic is how many bytes have passed through the stand-in since its start,
// in both directions together. Calls between entry hosts of one zone do not
// pass through it.
type Traffic struct {
	Platform int64 `json:"platform"` // between the zones and the log and host list
	Peers    int64 `json:"peers"`    // between entry hosts of different zones
	Workers  int64 `json:"workers"`  // to and from workers: control and calls
}

// Traffic returns the bytes so far.
func (p *Platform) Traffic() Traffic {
	t := Traffic{Workers: p.workerBytes.Load()}
	p.Network.mu.Lock()
	defer p.Network.mu.Unlock()
	for _, relay := range p.Network.platform {
		t.Platform += relay.bytes.Load()
	}
	for _, peer := range p.Network.links {
		t.Peers += peer.relay.bytes.Load()
	}
	return t
}

// countingListener adds the bytes of its connections to a counter.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, bytes: l.bytes}, nil
}

// countedConn adds what it reads and writes to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
