package lifeconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/linkstats"
)

const (
	// readBuffer is the read buffer size in bytes: most responses are smaller.
	readBuffer = 2 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds the body of a response: 500 run results and the list of running
	// tasks come to 100 KiB.
	maxBodyBytes = 8 << 20
)

// Response is the response to a call.
type Response struct {
	Status    int
	Body      []byte
	closeConn bool // the connection can't be reused
}

// persistConn is a connection that is kept open between calls.
type persistConn struct {
	conn     net.Conn
	incoming deadlineReader
	in       *bufio.Reader // of incoming
	usedAt   time.Time
}

func newPersistConn(conn net.Conn) *persistConn {
	l := &persistConn{conn: conn, incoming: deadlineReader{conn: conn, extension: lateReadTime}}
	l.in = bufio.NewReaderSize(&l.incoming, readBuffer)
	return l
}

// exchange sends a call and reads its response. It fails when ctx ends, or when the deadline passes
// and the response has not arrived.
func (l *persistConn) exchange(ctx context.Context, deadline time.Time, c Call) (Response, error) {
	l.incoming.begin(ctx)
	if err := l.conn.SetDeadline(deadline); err != nil {
		return Response{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	linkstats.BeginCall(l.conn, c.Kind)
	if _, err := l.conn.Write(c.Request); err != nil {
		return Response{}, err
	}
	resp, err := l.readResponse()
	if err != nil {
		return Response{}, err
	}
	if !stop() {
		resp.closeConn = true // ctx has ended: the connection's deadline is in the past, or is being moved there
	}
	return resp, nil
}

// unusable reports whether the peer has closed the connection or has sent data without a
// request.
func (l *persistConn) unusable() bool {
	return l.in.Buffered() > 0 || readable(l.conn)
}

// FormatError reports a response that is not valid HTTP/1.1.
type FormatError struct{ Problem string }

// Error implements error.
func (e *FormatError) Error() string { return "malformed HTTP/1.1 response: " + e.Problem }

// responseHead holds the parts of a response's header that decide how its body is read.
type responseHead struct {
	status    int
	length    int64 // of the body in bytes; -1 if not declared
	chunked   bool
	closeConn bool
}

// readResponse reads one final response and skips interim ones.
func (l *persistConn) readResponse() (Response, error) {
	for {
		h, err := l.readHeader()
		if err != nil {
			return Response{}, err
		}
		if h.status < 200 {
			continue // an interim response: the final one follows
		}
		body, err := l.readBody(&h)
		if err != nil {
			return Response{}, err
		}
		return Response{Status: h.status, Body: body, closeConn: h.closeConn || l.in.Buffered() > 0}, nil
	}
}

func (l *persistConn) readHeader() (responseHead, error) {
	h := responseHead{length: -1}
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
	h.closeConn = bytes.Equal(version, []byte("HTTP/1.0"))
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
		if err := h.parseField(line); err != nil {
			return h, err
		}
	}
}

// parseField records a header field that matters for reading the body.
func (h *responseHead) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return &FormatError{Problem: "header field"}
	}
	value = bytes.TrimSpace(value)
	switch {
	case equalFold(name, "content-length"):
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 || n > maxBodyBytes {
			return &FormatError{Problem: "content length"}
		}
		h.length = n
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return &FormatError{Problem: "transfer encoding"}
		}
		h.chunked = true
	case equalFold(name, "connection"):
		h.closeConn = h.closeConn || equalFold(value, "close")
	}
	return nil
}

func equalFold(a []byte, b string) bool { return len(a) == len(b) && bytes.EqualFold(a, []byte(b)) }

func (l *persistConn) readBody(h *responseHead) ([]byte, error) {
	switch {
	case h.status == 204 || h.status == 304 || h.length == 0 && !h.chunked:
		return nil, nil
	case h.chunked:
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(l.in), maxBodyBytes))
		if err != nil {
			return nil, err
		}
		return body, l.readTrailer(h)
	case h.length < 0:
		h.closeConn = true
		return io.ReadAll(io.LimitReader(l.in, maxBodyBytes))
	}
	body := make([]byte, h.length)
	_, err := io.ReadFull(l.in, body)
	return body, err
}

// readTrailer reads what follows the last chunk. After a trailer the connection is not reused.
func (l *persistConn) readTrailer(h *responseHead) error {
	line, err := l.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	h.closeConn = h.closeConn || len(bytes.TrimRight(line, "\r\n")) > 0
	return nil
}
