package leader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"

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
