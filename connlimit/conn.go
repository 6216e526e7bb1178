package connlimit

import (
	"bytes"
	"container/list"
	"net"
	"sync"
	"time"
)

// phase is what a connection is at.
type phase int

const (
	idle      phase = iota // no byte of a request has come
	head                   // the head of a request is incomplete
	body                   // its body is
	serving                // the request was received whole
	answering              // its handler has returned
)

const (
	// lineBytes is the memory that a line of a head takes up beside its text.
	lineBytes = 160
	// textFactor is how many times its size a buffer can take up while it grows.
	textFactor = 2
	// serverBuffer is the size of the buffer from which the server reads the next head.
	serverBuffer = 4096
	// requestTime is how long a client may take with the next request before its connection can give
	// way to others, and answerTime with accepting an answer.
	requestTime = 250 * time.Millisecond
	answerTime  = time.Second
)

// headBytes returns the memory that a part of a head can take up once it is parsed.
func headBytes(part []byte) int64 {
	return textFactor*int64(len(part)) + lineBytes*int64(bytes.Count(part, []byte{'\n'}))
}

// conn is a connection of a Limiter. Its fields are guarded by the mutex of the limiter.
type conn struct {
	net.Conn
	limiter *Limiter
	closed  sync.Once

	phase      phase
	requests   int           // that are being served; more than one with HTTP/2
	element    *list.Element // of Limiter.waiting; nil while a request is served and once evicted
	waitsSince time.Time
	evicted    bool
	lingering  bool  // the server has ended its answers and waits before it closes the connection
	received   int   // bytes of the present head
	charged    int64 // memory of the present request, and of what came after it
	buffered   int64 // memory of the newest bytes, should they begin the next head
}

// mayGiveWay reports whether a connection that waits for its client has done so for long enough.
func (c *conn) mayGiveWay(now time.Time) bool {
	if c.phase == answering {
		return now.Sub(c.waitsSince) >= answerTime
	}
	return now.Sub(c.waitsSince) >= requestTime
}

// Read implements net.Conn. The error is an *EvictedError or a *MemoryError if the bytes are not to be kept.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return 0, err
	}
	if err := c.receive(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// receive charges bytes that were read.
func (c *conn) receive(b []byte) error {
	cost, tooLarge := c.costOf(b)
	if tooLarge {
		c.rejectHead()
		return &EvictedError{}
	}
	if cost == 0 {
		return nil
	}
	return c.limiter.charge(c, cost)
}

// costOf returns the memory that bytes can take up in the present phase, and whether a head exceeds its bound.
func (c *conn) costOf(b []byte) (cost int64, tooLarge bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != serving {
		c.buffered = 0
	}
	if len(b) <= serverBuffer {
		c.buffered += headBytes(b)
	}
	switch c.phase {
	case idle, head:
		if c.phase == idle {
			c.phase = head
			if !c.evicted {
				l.wait(c)
			}
		}
		c.received += len(b)
		tooLarge = l.opts.MaxHeadBytes != nil && c.received > l.opts.MaxHeadBytes()+serverBuffer
		return headBytes(b), tooLarge
	case body:
		return textFactor * int64(len(b)), false
	}
	return 0, false
}

const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// rejectHead answers a head that exceeds its bound. The server closes the connection.
func (c *conn) rejectHead() {
	if _, err := c.Write([]byte(headTooLarge)); err == nil {
		_ = closeWrite(c.Conn) // the client may have closed the connection
	}
}

// begin notes that a handler begins with a request, of which a body is still to come if hasBody is
// set. It reports whether the connection is to be closed after the answer.
func (c *conn) begin(hasBody bool) (closeAfter bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.requests++
	c.received = 0
	if hasBody {
		c.phase = body
		c.setReceiveBuffer(l.opts.BodyReceiveBuffer)
		if l.opts.BodyTimeout > 0 && !c.evicted {
			_ = c.Conn.SetReadDeadline(time.Now().Add(l.opts.BodyTimeout)) // fails only on a closed connection
		}
		return c.evicted
	}
	c.phase = serving
	l.stopWaiting(c)
	if c.evicted {
		l.keep(c)
		return true
	}
	return false
}

// complete notes that the body of the present request was read to its end.
func (c *conn) complete() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != body {
		return
	}
	c.phase = serving
	c.setReceiveBuffer(l.opts.ReceiveBuffer)
	l.stopWaiting(c)
	if c.evicted {
		l.keep(c)
	} else if l.opts.BodyTimeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// setReceiveBuffer sets the size of the kernel's buffer if it changes with bodies.
func (c *conn) setReceiveBuffer(size int) {
	if c.limiter.opts.BodyReceiveBuffer == 0 {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size) // fails only on a closed connection
	}
}

// end notes that a handler has returned.
func (c *conn) end() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.requests--; c.requests > 0 {
		return
	}
	c.phase = answering
	if c.evicted {
		l.release(c, 0)
		return
	}
	l.release(c, c.buffered)
	l.wait(c)
}

// rest notes that the answer was sent and the connection waits for the next request.
func (c *conn) rest() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == answering {
		c.phase = idle
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if t := c.limiter.opts.WriteTimeout; t > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(t)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// SetDeadline implements net.Conn. Deadlines of an evicted connection stay as they are.
func (c *conn) SetDeadline(t time.Time) error { return c.unlessEvicted(t, c.Conn.SetDeadline) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.unlessEvicted(t, c.Conn.SetReadDeadline) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.unlessEvicted(t, c.Conn.SetWriteDeadline)
}

func (c *conn) unlessEvicted(t time.Time, set func(time.Time) error) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.evicted {
		return nil
	}
	return set(t)
}

// CloseWrite ends the answers of a connection on which the client still sends. The server closes it
// a moment later, so that the client can read the last one.
func (c *conn) CloseWrite() error {
	c.limiter.mu.Lock()
	c.lingering = true
	evicted := c.evicted
	c.limiter.mu.Unlock()
	if evicted {
		return c.Close()
	}
	return closeWrite(c.Conn)
}

func closeWrite(c net.Conn) error {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.limiter.forget(c) })
	return err
}
