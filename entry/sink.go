package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Answer sizes.
const (
	// holdBytes is how much of an answer is held back before any of it goes to
	// the caller. An upstream that fails within it can still be tried again,
	// or reported as a typed problem.
	holdBytes = 64 << 10
	copyBytes = 32 << 10
)

// sink takes one answer for a caller: a head, then chunks, then its end. A
// caller that sees no end knows that the answer was cut.
type sink interface {
	head(status int, header http.Header, length int64) error
	chunk(p []byte) error
	end(length int64) error
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// passHeader copies what belongs to the answer or request itself.
func passHeader(src http.Header) http.Header {
	dst := src.Clone()
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	return dst
}

// copied says how far an answer got.
type copied struct {
	length    int64
	committed bool  // the caller has seen part of it
	source    error // why reading from the upstream ended early
	caller    error // why writing to the caller failed
}

// whole reports whether the caller got all of the answer.
func (c copied) whole() bool { return c.source == nil && c.caller == nil }

// copyAnswer passes an answer on to a sink and checks its length against the
// declared one. An answer shorter than declared was cut on its way; passing it
// on as whole would hand the caller a document that is silently incomplete.
func copyAnswer(dst sink, answer ports.Answer) copied {
	var res copied
	size := copyBytes
	if answer.Length >= 0 {
		size = int(min(answer.Length+1, copyBytes)) // one more, to see the end in one read
	}
	held := make([]byte, 0, size)
	buf := make([]byte, size)
	for {
		n, err := answer.Body.Read(buf)
		held = append(held, buf[:n]...)
		res.length += int64(n)
		if err == io.EOF {
			return finishCopy(dst, answer, held, res)
		}
		if err != nil {
			res.source = err
			return res
		}
		if len(held) < holdBytes && !res.committed {
			continue
		}
		if !flush(dst, answer, held, &res) {
			return res
		}
		held = held[:0]
	}
}

func finishCopy(dst sink, answer ports.Answer, held []byte, res copied) copied {
	if answer.Length >= 0 && res.length != answer.Length {
		res.source = &CutAnswerError{Declared: answer.Length, Received: res.length}
		return res
	}
	if !flush(dst, answer, held, &res) {
		return res
	}
	res.caller = dst.end(res.length)
	return res
}

// flush sends the head before the first chunk, and the chunk.
func flush(dst sink, answer ports.Answer, chunk []byte, res *copied) bool {
	if !res.committed {
		res.committed = true
		if res.caller = dst.head(answer.Status, passHeader(answer.Header), answer.Length); res.caller != nil {
			return false
		}
	}
	if len(chunk) == 0 {
		return true
	}
	res.caller = dst.chunk(chunk)
	return res.caller == nil
}

// httpSink answers an HTTP caller.
//
// A caller that asks for a large answer and does not read it would hold its
// slot and units for as long as it likes, and a few such callers would leave
// none to others. The answer must have gone out at the request's deadline;
// then the connection is cut, and the slot is free.
type httpSink struct {
	w     http.ResponseWriter
	until time.Time
}

func (s *httpSink) head(status int, header http.Header, length int64) error {
	if err := http.NewResponseController(s.w).SetWriteDeadline(s.until); err != nil {
		return err
	}
	dst := s.w.Header()
	for name, values := range header {
		dst[name] = values
	}
	if length >= 0 {
		dst.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
	return nil
}

func (s *httpSink) chunk(p []byte) error {
	_, err := s.w.Write(p)
	return err
}

func (s *httpSink) end(int64) error { return nil }
