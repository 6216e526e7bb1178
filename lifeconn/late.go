package lifeconn

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// lateReadTime is how long after its deadline a call goes on if a part of its response has arrived.
const lateReadTime = 100 * time.Millisecond

// deadlineReader reads from a connection. If the deadline has passed and there is something to read,
// it moves the deadline by extension, once in a call.
//
// It guards against a response that is taken for a missing one because this process stood still: the
// response is there when the process goes on, but the deadline has passed as well.
type deadlineReader struct {
	conn      net.Conn
	extension time.Duration
	ctx       context.Context // of the call in flight
	late      bool            // the deadline of that call has passed and was moved
}

// begin prepares for the response to a call.
func (r *deadlineReader) begin(ctx context.Context) { r.ctx, r.late = ctx, false }

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.late || r.ctx.Err() != nil || !readable(r.conn) {
		return n, err
	}
	r.late = true
	if r.conn.SetReadDeadline(time.Now().Add(r.extension)) != nil {
		return n, err
	}
	return r.conn.Read(b)
}

// readable reports whether a read would not wait: data has arrived, or the connection has ended. It
// is false for connections that can't tell.
func readable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err != nil || !idle
}
