package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is what a proxy does with the bytes that pass.
type mode int32

const (
	passing mode = iota
	silent       // nothing passes, and no connection ends
	oneWay       // nothing passes back to the caller
	slow         // every piece is held up by slowBy
)

// slowBy is longer than a usual answer and shorter than most time limits.
const slowBy = 60 * time.Millisecond

// held is how often bytes that are held up look whether they may pass.
const held = 5 * time.Millisecond

// proxy stands between a caller and an address on loopback.
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

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

// reset resets every connection that is open.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // so that it is reset, not closed
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
		go p.join(in)
	}
}

func (p *proxy) join(in net.Conn) {
	for mode(p.mode.Load()) == silent {
		time.Sleep(held)
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.pump(out, in, false)
	p.pump(in, out, true)
}

// pump copies one direction until either side ends.
func (p *proxy) pump(to, from net.Conn, back bool) {
	defer p.forget(to, from)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.holdUp(back)
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

func (p *proxy) holdUp(back bool) {
	if mode(p.mode.Load()) == slow {
		time.Sleep(slowBy)
	}
	for {
		m := mode(p.mode.Load())
		if m != silent && (m != oneWay || !back) {
			return
		}
		time.Sleep(held)
	}
}

func (p *proxy) forget(a, b net.Conn) {
	_, _ = a.Close(), b.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, a)
	delete(p.conns, b)
}
