package leader

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

// expiringLog passes calls on to a log. Its records expire once the intake has been read, before the
// entries are.
type expiringLog struct {
	store  *fakeplatform.Store
	proxy  http.Handler
	reads  atomic.Int32  // answered reads of the intake
	read   chan struct{} // closed when all partitions of the intake have been read
	expire sync.Once
}

func (e *expiringLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("topic") == TopicEntries {
		<-e.read
		e.expire.Do(func() {
			e.store.Expire(TopicIntake)
			e.store.Expire(TopicEntries)
		})
	}
	e.proxy.ServeHTTP(w, r)
	if r.URL.Query().Get("topic") == TopicIntake && e.reads.Add(1) == IntakeParts {
		close(e.read)
	}
}

// Guards against a job that runs again because its submission was read just before it expired, and the
// ends of its tasks, which were appended later, expired before they were read.
func TestRecordsThatExpireWhileLoading(t *testing.T) {
	store := fakeplatform.NewStore()
	job := &record.Job{Id: "a", Queue: "q", Workspace: "ws", Policy: &record.Policy{Service: "svc"}, Steps: []*record.Step{{Count: 1, Request: &record.Resources{}}}}
	end := &record.Ended{Task: &record.Task{Job: "a"}, Run: 1, Outcome: record.Outcome_OUTCOME_DONE}
	appendRecord(t, store, TopicIntake, &record.Intake{Kind: &record.Intake_Submitted{Submitted: job}})
	appendRecord(t, store, TopicEntries, &record.Entry{Fence: 1, Seq: 1, Kind: &record.Entry_Ended{Ended: end}})
	endpoint := store.Endpoint()
	defer endpoint.Close()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: endpoint.Address()})
	server := httptest.NewServer(&expiringLog{store: store, proxy: proxy, read: make(chan struct{})})
	defer server.Close()
	client := platform.NewClient(platform.Addresses{Log: server.Listener.Addr().String()}, 16, nil)
	l := New(Config{Client: client, Log: logrus.NewEntry(logrus.New())})
	next, err := l.load(context.Background(), region.New(region.Options{}), []int64{1, 0, 0})
	if err != nil {
		t.Fatal(err)
	}
	if next[0] != 1 {
		t.Errorf("the intake is read on from %d, want 1", next[0])
	}
	if state, _ := l.status.State("a"); state != region.StateUnknown {
		t.Errorf("the job is shown as %v, want it forgotten", state)
	}
}

func appendRecord(t *testing.T, store *fakeplatform.Store, topic string, m proto.Message) {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	store.Append(topic, data)
}

// Guards against an assignment that is read without the end that expired after it, when records expire
// between two reads of a partition: the task would count as running.
func TestRecordsBeforeGapAreDropped(t *testing.T) {
	batch := func(w http.ResponseWriter, first uint64, records ...string) {
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, 10), first)
		for _, r := range records {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
		}
		_, _ = w.Write(out)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "0":
			batch(w, 0, "0", "1")
		case "2":
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"first":7}`))
		default:
			batch(w, 7, "7", "8", "9")
		}
	}))
	defer server.Close()
	l := New(Config{Client: platform.NewClient(platform.Addresses{Log: server.Listener.Addr().String()}, 1, nil)})
	got, err := l.readPartition(context.Background(), TopicEntries, 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	want := partition{records: [][]byte{[]byte("7"), []byte("8"), []byte("9")}, first: 7, next: 10}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(partition{})); diff != "" {
		t.Error(diff)
	}
}
