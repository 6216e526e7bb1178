package entry

import "net/http"

// heldSink holds the beginning of an answer back until there is much of it, or
// all.
//
// It guards callers of a healthy host against the crash of a peer in the middle
// of a short answer: nothing has gone out yet, so the request can be tried
// again or be answered by a typed problem, instead of a broken connection.
type heldSink struct {
	dst       sink
	status    int
	header    http.Header
	length    int64
	held      []byte
	committed bool // the caller has seen part of the answer
}

func (s *heldSink) head(status int, header http.Header, length int64) error {
	s.status = status
	s.header = header
	s.length = length
	return nil
}

func (s *heldSink) chunk(p []byte) error {
	if s.committed {
		return s.dst.chunk(p)
	}
	s.held = append(s.held, p...)
	if len(s.held) < holdBytes {
		return nil
	}
	return s.commit()
}

func (s *heldSink) end(length int64) error {
	if !s.committed {
		if err := s.commit(); err != nil {
			return err
		}
	}
	return s.dst.end(length)
}

// commit lets out what was held back.
func (s *heldSink) commit() error {
	s.committed = true
	if err := s.dst.head(s.status, s.header, s.length); err != nil {
		return err
	}
	if len(s.held) == 0 {
		return nil
	}
	return s.dst.chunk(s.held)
}
