package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/request"
)

// brokenStream is a peer that crashes after the first parts of its answer.
type brokenStream struct {
	parts []*peerv1.ForwardResponse
	at    int
}

func (s *brokenStream) Receive() bool                { s.at++; return s.at <= len(s.parts) }
func (s *brokenStream) Msg() *peerv1.ForwardResponse { return s.parts[s.at-1] }
func (s *brokenStream) Err() error                   { return nil }

// seenSink notes whether anything went to the caller.
type seenSink struct{ seen bool }

func (s *seenSink) head(int, http.Header, int64) error { s.seen = true; return nil }
func (s *seenSink) chunk([]byte) error                 { s.seen = true; return nil }
func (s *seenSink) end(int64) error                    { s.seen = true; return nil }

// A peer is killed in the middle of a short answer that a healthy host passes
// on. The caller of the healthy host must see nothing of it, so that it can get
// a typed answer or another try instead of a broken connection.
func TestCrashOfPeerInShortAnswerIsNotSeen(t *testing.T) {
	stream := &brokenStream{parts: []*peerv1.ForwardResponse{
		{Part: &peerv1.ForwardResponse_Head{Head: &peerv1.AnswerHead{Status: http.StatusOK}}},
		{Part: &peerv1.ForwardResponse_Chunk{Chunk: []byte("half of it")}},
	}}
	dst := &seenSink{}
	fin, cut := (&Host{}).receive(context.Background(), &call{}, stream, dst)
	if dst.seen || fin.Committed || cut != nil {
		t.Errorf("the caller saw part of the answer: committed %v, cut %v", fin.Committed, cut)
	}
	if fin.Result != request.ResultUncertain {
		t.Errorf("result %v, want uncertain", fin.Result)
	}
}
