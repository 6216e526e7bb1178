package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is how a proxy treats the bytes that it forwards.
type mode int32

const (
	forwardAll    mode = iota
	holdAll            // nothing is forwarded, and connections stay open
	holdResponses      // nothing is forwarded to the caller
	delayAll           // the bytes of each read are delayed by readDelay
)

// readDelay is longer than a usual response takes and shorter than most timeouts.
const readDelay = 60 * time.Millisecond

// holdPollInterval is the interval at which held bytes are checked against the mode.
const holdPollInterval = 5 * time.Millisecond

// proxy forwards TCP connections from a loopback address to target.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // close with RST instead of FIN
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	for mode(p.mode.Load()) == holdAll {
		time.Sleep(holdPollInterval)
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.forward(out, in, false)
	p.forward(in, out, true)
}

// forward copies one direction until either side closes.
func (p *proxy) forward(to, from net.Conn, responses bool) {
	defer p.closePair(to, from)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitToForward(responses)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

func (p *proxy) waitToForward(responses bool) {
	if mode(p.mode.Load()) == delayAll {
		time.Sleep(readDelay)
	}
	for {
		m := mode(p.mode.Load())
		if m != holdAll && (m != holdResponses || !responses) {
			return
		}
		time.Sleep(holdPollInterval)
	}
}

func (p *proxy) closePair(a, b net.Conn) {
	_, _ = a.Close(), b.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, a)
	delete(p.conns, b)
}
