package leader

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/record"
)

// A partition of the log was down for a while, so that a leader's entries went
// to the next one and back again; one stands in both, as its answer was lost. A
// successor that read one partition after the other would see an end before the
// assignment it belongs to, and take a task for running that is done.
func TestEntriesAreReadInOrder(t *testing.T) {
	store := fakeplatform.NewStore()
	door := store.Door()
	defer door.Close()
	client := platform.NewClient(platform.Names{Store: door.Address()}, 2)
	parts := [entryParts][][2]int64{{{1, 1}, {1, 4}, {2, 1}}, {{1, 2}, {1, 3}, {1, 4}}, {{2, 2}}}
	var ends []int64
	for part, entries := range parts {
		var records [][]byte
		for _, e := range entries {
			data, err := proto.Marshal(&record.Entry{Fence: e[0], Seq: e[1]})
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, data)
		}
		got, err := client.Append(context.Background(), 5*time.Second, platform.Append{
			Topic: TopicEntries, Part: part, Records: records, At: -1,
		})
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, got.End)
	}
	entries, err := New(Config{Client: client}).readEntries(context.Background(), ends)
	if err != nil {
		t.Fatal(err)
	}
	var order [][2]int64
	for _, e := range entries {
		order = append(order, [2]int64{e.Fence, e.Seq})
	}
	if diff := cmp.Diff([][2]int64{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {2, 1}, {2, 2}}, order); diff != "" {
		t.Error(diff)
	}
}
