package logwriter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against records that are appended again long after readers have forgotten them, which would
// count them as new: a call gets no answer, its records go to another partition, and the writer comes
// back to the first one only after the log's retention. The call must not be executed after that,
// also if it was under way all the time.
func TestCallWithoutAnswerIsNotRepeatedAfterLongTime(t *testing.T) {
	f := &scriptedStore{script: []error{nil, errNoAnswer, nil, errNoAnswer, nil, nil}, executed: []bool{true, false, true, false, true, true}}
	synctestWriter(t, f, Target{Topic: "t", Parts: 2, Producer: "p", Epoch: 1, FirstSeq: 1, CallBytes: 1 << 20, OwnEpochs: true}, func(t *testing.T, w *Writer) {
		writeAll(t, w, "a", "b")
		time.Sleep(10 * time.Minute)
		writeAll(t, w, "c", "d")
	})
	var sent []string
	for _, c := range f.calls {
		sent = append(sent, fmt.Sprintf("part %d epoch %d seq %d: %s", c.Part, c.Epoch, c.Seq, c.Records[0]))
	}
	want := []string{
		"part 0 epoch 1 seq 1: a", "part 0 epoch 1 seq 2: b", "part 1 epoch 1 seq 1: b", "part 1 epoch 1 seq 2: c",
		"part 0 epoch 2 seq 1: c", "part 0 epoch 2 seq 2: d",
	}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Error(diff)
	}
}
