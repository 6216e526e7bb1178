package leader

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

// While a partition of the log was down, a leader's entries went to the next one; one entry
// is in both, as its ack was lost. A new leader that read one partition after the other would
// apply an end before the assignment that it belongs to, and treat a completed task as running.
func TestEntriesOfSeveralPartitionsAreMergedInOrder(t *testing.T) {
	store := fakeplatform.NewStore()
	endpoint := store.Endpoint()
	defer endpoint.Close()
	client := platform.NewClient(platform.Addresses{Log: endpoint.Address()}, 2, nil)
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
			Topic: TopicEntries, Part: part, Records: records, ExpectedEnd: -1,
		})
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, got.End)
	}
	entries, _, err := New(Config{Client: client}).readEntries(context.Background(), ends)
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

// slowStore acks appends after a delay.
type slowStore struct{ latency time.Duration }

func (s slowStore) Append(context.Context, time.Duration, platform.Append) (platform.Appended, error) {
	time.Sleep(s.latency)
	return platform.Appended{}, nil
}

// With a log that was slow for all hosts, 0.5 s and more for an append, a leader counted as
// unable to reach the log. It handed over to a host for which the log was as slow, and callers
// had no leader while that one loaded. Only the time beyond twice the latency of an append
// counts as lost contact.
func TestSlowLogDoesNotCountAsLostContact(t *testing.T) {
	l := New(Config{})
	l.writer = logwriter.New(slowStore{latency: 20 * time.Millisecond}, logwriter.Target{Topic: TopicEntries, Parts: 1, FirstSeq: 1, CallBytes: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	run.Go(func() { _ = l.writer.Run(ctx) }) // ends with ctx
	acked := make(chan struct{})
	l.writer.Write([]byte("x"), func(logwriter.Ack) { close(acked) })
	<-acked
	cancel()
	run.Wait()
	l.loaded.Store(true)
	took := l.writer.LastLatency()
	l.lastAppendAt.Store(int64(time.Hour))
	for _, c := range []struct{ sinceAppend, want time.Duration }{
		{took, 0},
		{slowLogFactor * took, 0},
		{slowLogFactor*took + time.Second, time.Second},
	} {
		if got := l.contactAge(time.Hour + c.sinceAppend); got != c.want {
			t.Errorf("%v after an ack with a latency of %v: contact age %v, want %v", c.sinceAppend, took, got, c.want)
		}
	}
}

// Over a narrow link or from a slow log, a leader needs seconds to load. The other hosts saw no
// new entries, counted it as failed and claimed the leadership one after the other, and each had
// to load again: there was no leader for half a minute. A loading leader appends heartbeats.
func TestLoadingLeaderAppendsHeartbeats(t *testing.T) {
	store := fakeplatform.NewStore()
	endpoint, watching := store.Endpoint(), store.Endpoint()
	defer endpoint.Close()
	defer watching.Close()
	endpoint.Stall("log-read")
	defer endpoint.Stall("")
	l := New(Config{
		Client: platform.NewClient(platform.Addresses{Log: endpoint.Address()}, 16, nil), Fence: 1, CallBytes: 1 << 20,
		Log: logrus.NewEntry(logrus.New()), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	defer run.Wait()
	defer cancel()
	run.Go(func() { _ = l.Run(ctx) }) // ends with ctx
	w := NewWatcher(platform.NewClient(platform.Addresses{Log: watching.Address()}, 4, nil))
	heartbeats := 0
	for range 100 { // heartbeats may be late on a busy machine
		if grown, _ := w.poll(ctx, heartbeatInterval); grown {
			heartbeats++
		}
		if heartbeats == 3 {
			break
		}
	}
	if heartbeats < 3 {
		t.Fatal("fewer than three heartbeats while the leader loads")
	}
	if l.Loaded() {
		t.Error("the leader has loaded although no read was answered")
	}
}

// A new leader measured the age of its log contact from time zero, so the contact counted as
// lost at once, and it began by handing over to another host.
func TestNewLeaderStartsWithLogContact(t *testing.T) {
	if age := New(Config{}).LogContactAge(); age > time.Minute {
		t.Errorf("log contact age %v on a new leader", age)
	}
}

// Over a narrow link, a read while loading timed out and was repeated unchanged, without end.
// Each timeout reduces the size of the read and extends its timeout.
func TestReadSizeShrinksAfterTimeouts(t *testing.T) {
	timedOut := &platform.NoAnswerError{Cause: context.DeadlineExceeded}
	if s := newReadSize(250e3); s.kb != minReadKB {
		t.Errorf("first read of %d KiB over 2 Mbit/s", s.kb)
	}
	s := newReadSize(0)
	for range 10 {
		s.adjust(timedOut)
	}
	if s.kb != minReadKB || s.timeout != maxReadTimeout {
		t.Errorf("%d KiB in %v after ten failures", s.kb, s.timeout)
	}
	s.adjust(&platform.StatusError{Status: 503})
	if s.kb != minReadKB {
		t.Errorf("%d KiB after a refusal", s.kb)
	}
	for range 10 {
		s.adjust(nil)
	}
	if s.kb != maxReadKB {
		t.Errorf("%d KiB after ten answers", s.kb)
	}
}

// On a saturated link every response took a second. Calls timed out after 0.2 s and were
// repeated, which kept the link saturated. The timeout follows the response times; a few failed
// workers do not extend it for the others.
func TestCallTimeoutFollowsResponseTimes(t *testing.T) {
	var estimator timeoutEstimator
	timeout := func() time.Duration { return estimator.timeout(minStartStopTimeout, maxCallTimeout) }
	for range 100 {
		estimator.observe(5 * time.Millisecond)
	}
	if got := timeout(); got != minStartStopTimeout {
		t.Errorf("%v with response times of 5 ms, want %v", got, minStartStopTimeout)
	}
	for range missesPerDoubling - 1 {
		estimator.missed()
	}
	if got := timeout(); got != minStartStopTimeout {
		t.Errorf("%v with a few workers down, want %v", got, minStartStopTimeout)
	}
	estimator.missed()
	if got := timeout(); got != 2*minStartStopTimeout {
		t.Errorf("%v with all calls timed out, want %v", got, 2*minStartStopTimeout)
	}
	for range 200 {
		estimator.observe(time.Second)
	}
	if got := timeout(); got < time.Second || got > maxCallTimeout {
		t.Errorf("%v with response times of 1 s", got)
	}
	for range 1000 {
		estimator.observe(5 * time.Millisecond)
	}
	if got := timeout(); got > 2*minStartStopTimeout {
		t.Errorf("%v long after the link was saturated", got)
	}
}

// Guards against a job that is accepted and answered as unknown: its record has been read from
// the log, but the scheduler has not applied it yet, as after a cut, when much is to be applied.
func TestJobIsNotUnknownWhileItsRecordIsQueued(t *testing.T) {
	store := fakeplatform.NewStore()
	endpoint := store.Endpoint()
	defer endpoint.Close()
	client := platform.NewClient(platform.Addresses{Log: endpoint.Address()}, 4, nil)
	job := &record.Job{Id: "a", Steps: []*record.Step{{Count: 1}}, Policy: &record.Policy{}}
	data, err := proto.Marshal(&record.Intake{Kind: &record.Intake_Submitted{Submitted: job}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Append(context.Background(), 5*time.Second, platform.Append{Topic: TopicIntake, Records: [][]byte{data}, ExpectedEnd: -1}); err != nil {
		t.Fatal(err)
	}
	l := New(Config{Client: client, Log: logrus.NewEntry(logrus.New()), Metrics: tally.NoopScope})
	l.loaded.Store(true)
	for part := 1; part < IntakeParts; part++ {
		l.intakeReadAt[part].Store(int64(boottime.Now() + time.Hour))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	defer run.Wait()
	defer cancel()
	run.Go(func() { l.readIntake(ctx, 0, 0) })
	ev := <-l.events.Items()
	if _, current := l.State("a"); current {
		t.Error("a job whose record was read is unknown for certain before it is applied")
	}
	l.apply(&dispatcher{leader: l, ctx: ctx}, region.New(region.Options{}), ev)
	if s, current := l.State("a"); !current || s.State != region.StateQueued {
		t.Errorf("state %v, current %v after the record is applied", s.State, current)
	}
}

// Guards against a region whose first starts under a new leader wait for the worker list, which
// takes as long to read as the records: it is read while the leader loads.
func TestWorkerListIsReadWhileLoading(t *testing.T) {
	store := fakeplatform.NewStore()
	endpoint := store.Endpoint()
	defer endpoint.Close()
	endpoint.Stall("log-read " + TopicIntake)
	defer endpoint.Stall("")
	l := New(Config{
		Client: platform.NewClient(platform.Addresses{Log: endpoint.Address()}, 16, nil), Fence: 1, CallBytes: 1 << 20,
		Log: logrus.NewEntry(logrus.New()), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	defer run.Wait()
	defer cancel()
	run.Go(func() { _ = l.Run(ctx) }) // ends with ctx
	for range 500 {
		if endpoint.Calls("log-newest") > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if endpoint.Calls("log-newest") == 0 {
		t.Error("the worker list is not read while the leader loads")
	}
	if l.Loaded() {
		t.Error("the leader has loaded although no read of the intake was answered")
	}
}
