package lifeconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflyfold/fireflyfold/linkstats"
)

const (
	// readBuffer is how much of an answer is read at once: most are smaller.
	readBuffer = 2 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds the body of an answer: 500 ends and what runs come to 100 KiB.
	maxBodyBytes = 8 << 20
)

// Answer is the answer to a call.
type Answer struct {
	Status int
	Body   []byte
	last   bool // the connection takes no further call
}

// link is one connection.
type link struct {
	conn   net.Conn
	in     *bufio.Reader
	usedAt time.Time
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, in: bufio.NewReaderSize(conn, readBuffer)}
}

// exchange sends a call and reads its answer.
func (l *link) exchange(ctx context.Context, deadline time.Time, c Call) (Answer, error) {
	if err := l.conn.SetDeadline(deadline); err != nil {
		return Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	linkstats.Begin(l.conn, c.Kind)
	if _, err := l.conn.Write(c.Request); err != nil {
		return Answer{}, err
	}
	ans, err := l.read()
	if err != nil {
		return Answer{}, err
	}
	if !stop() {
		ans.last = true // its deadline is over, or about to be
	}
	return ans, nil
}

// ended reports whether the other side has ended the connection, or has sent what nobody
// asked for.
func (l *link) ended() bool {
	if l.in.Buffered() > 0 {
		return true
	}
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err != nil || !quiet
}

// FormatError reports an answer that is not one in HTTP/1.1.
type FormatError struct{ Problem string }

// Error implements error.
func (e *FormatError) Error() string { return "not an answer in HTTP/1.1: " + e.Problem }

// head is what counts of an answer's header.
type head struct {
	status  int
	length  int64 // of the body; -1 if it is not declared
	chunked bool
	last    bool
}

// read reads one answer.
func (l *link) read() (Answer, error) {
	for {
		h, err := l.readHead()
		if err != nil {
			return Answer{}, err
		}
		if h.status < 200 {
			continue // an interim answer: the final one follows
		}
		body, err := l.readBody(&h)
		if err != nil {
			return Answer{}, err
		}
		return Answer{Status: h.status, Body: body, last: h.last || l.in.Buffered() > 0}, nil
	}
}

func (l *link) readHead() (head, error) {
	h := head{length: -1}
	line, err := l.in.ReadSlice('\n')
	if err != nil {
		return h, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) || len(rest) < 3 {
		return h, &FormatError{Problem: "status line"}
	}
	if h.status, err = strconv.Atoi(string(rest[:3])); err != nil || h.status < 100 {
		return h, &FormatError{Problem: "status"}
	}
	h.last = bytes.Equal(version, []byte("HTTP/1.0"))
	for size := len(line); ; {
		line, err := l.in.ReadSlice('\n')
		if err != nil {
			return h, err
		}
		if size += len(line); size > maxHeaderBytes {
			return h, &FormatError{Problem: "header too long"}
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			return h, nil
		}
		if err := h.field(line); err != nil {
			return h, err
		}
	}
}

// field takes a header field into account.
func (h *head) field(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return &FormatError{Problem: "header field"}
	}
	value = bytes.TrimSpace(value)
	switch {
	case is(name, "content-length"):
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 || n > maxBodyBytes {
			return &FormatError{Problem: "content length"}
		}
		h.length = n
	case is(name, "transfer-encoding"):
		if !is(value, "chunked") {
			return &FormatError{Problem: "transfer encoding"}
		}
		h.chunked = true
	case is(name, "connection"):
		h.last = h.last || is(value, "close")
	}
	return nil
}

func is(a []byte, b string) bool { return len(a) == len(b) && bytes.EqualFold(a, []byte(b)) }

func (l *link) readBody(h *head) ([]byte, error) {
	switch {
	case h.status == 204 || h.status == 304 || h.length == 0 && !h.chunked:
		return nil, nil
	case h.chunked:
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(l.in), maxBodyBytes))
		if err != nil {
			return nil, err
		}
		return body, l.endChunks(h)
	case h.length < 0:
		h.last = true
		return io.ReadAll(io.LimitReader(l.in, maxBodyBytes))
	}
	body := make([]byte, h.length)
	_, err := io.ReadFull(l.in, body)
	return body, err
}

// endChunks reads the end of a body in chunks. One with a trailer ends its connection.
func (l *link) endChunks(h *head) error {
	line, err := l.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	h.last = h.last || len(bytes.TrimRight(line, "\r\n")) > 0
	return nil
}
