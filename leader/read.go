package leader

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// readIntake follows one partition of the intake, the submissions and cancellations of all
// hosts.
func (l *Leader) readIntake(ctx context.Context, part int, from int64) {
	reporter := l.retryReporter("intake_reads", "reading the intake")
	for ctx.Err() == nil {
		sent := boottime.Now()
		b, err := l.cfg.Client.ReadLog(ctx, readTimeout, platform.Read{Topic: TopicIntake, Part: part, From: from, Wait: longPollWait})
		if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
			l.cfg.Log.WithError(err).Error("intake records expired before they were read")
			from = expired.First
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !reporter.Observe(err) {
			boottime.Sleep(ctx, readRetryDelay)
			continue
		}
		from += int64(len(b.Records))
		ev := l.decodeIntake(b.Records)
		if from >= b.End { // else more records are to be read
			ev.Part, ev.SentAt = part, sent
		}
		l.push(ctx, ev)
		if len(ev.Records) > 0 {
			boottime.Sleep(ctx, intakeReadDelay)
		}
	}
}

// retryReporter returns a reporter for reads of the log that are retried while this host leads.
func (l *Leader) retryReporter(metric, operation string) telemetry.RetryReporter {
	return telemetry.RetryReporter{Metric: metric, Operation: operation, Log: l.cfg.Log, Metrics: l.cfg.Metrics}
}

func (l *Leader) decodeIntake(records [][]byte) region.IntakeRead {
	var ev region.IntakeRead
	for _, data := range records {
		r := &record.Intake{}
		if err := proto.Unmarshal(data, r); err != nil {
			l.cfg.Log.WithError(err).Error("cannot decode an intake record")
			continue
		}
		ev.Records = append(ev.Records, r)
	}
	return ev
}

// workerList is the whole worker list as read at one time.
type workerList struct {
	items []platform.KeyedRecord
	next  int64 // offset from which on later changes are read
}

// readWorkerListAhead reads the worker list while the leader loads: that of a large region takes
// as long as the records. The channel is closed without a list if it cannot be read.
func (l *Leader) readWorkerListAhead(ctx context.Context, group *conc.WaitGroup) <-chan workerList {
	read := make(chan workerList, 1)
	group.Go(func() {
		defer close(read)
		items, next, err := l.cfg.Client.Newest(ctx, readTimeout, platform.TopicWorkers)
		if err != nil {
			l.cfg.Log.WithError(err).Debug("worker list not read ahead; it is read after loading")
			return
		}
		read <- workerList{items: items, next: next}
	})
	return read
}

// watchWorkers follows the worker list, which log messages and metrics call the host list, from the
// list that was read ahead on, if there is one.
func (l *Leader) watchWorkers(ctx context.Context, ahead <-chan workerList) {
	w := &workerListReader{leader: l, listed: make(map[string]bool)}
	if list, ok := <-ahead; ok {
		w.applyList(ctx, list)
	}
	reporter := l.retryReporter("host_list_reads", "reading the host list")
	for ctx.Err() == nil {
		err := w.readNext(ctx)
		if ctx.Err() == nil && !reporter.Observe(err) {
			boottime.Sleep(ctx, readRetryDelay)
		}
	}
}

// workerListReader passes the changes of the worker list to the scheduler.
type workerListReader struct {
	leader       *Leader
	listed       map[string]bool
	nextOffset   int64
	snapshotRead bool // the whole list has been read; changes follow from nextOffset on
}

// readNext reads the whole list the first time, and its changes after that.
func (w *workerListReader) readNext(ctx context.Context) error {
	if !w.snapshotRead {
		return w.readSnapshot(ctx)
	}
	began := boottime.Now()
	b, err := w.leader.cfg.Client.ReadLog(ctx, readTimeout, platform.Read{Topic: platform.TopicWorkers, From: w.nextOffset, Wait: longPollWait})
	if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
		// Older records may expire at any time; the newest one of each key remains.
		w.snapshotRead = false
		return nil
	}
	if err != nil {
		return err
	}
	w.nextOffset += int64(len(b.Records))
	for _, data := range b.Records {
		key, value, err := platform.DecodeKeyed(data)
		if err != nil {
			w.leader.cfg.Log.WithError(err).Warn("cannot decode a record of the host list")
			continue
		}
		w.apply(ctx, key, value)
	}
	if left := workerListInterval - (boottime.Now() - began); left > 0 {
		boottime.Sleep(ctx, left)
	}
	return nil
}

func (w *workerListReader) readSnapshot(ctx context.Context) error {
	items, next, err := w.leader.cfg.Client.Newest(ctx, readTimeout, platform.TopicWorkers)
	if err != nil {
		return err
	}
	w.applyList(ctx, workerList{items: items, next: next})
	return nil
}

// applyList passes the scheduler the whole list, and the workers that are not listed any more.
func (w *workerListReader) applyList(ctx context.Context, list workerList) {
	seen := make(map[string]bool, len(list.items))
	for _, item := range list.items {
		seen[item.Key] = true
		w.apply(ctx, item.Key, item.Value)
	}
	for id := range w.listed {
		if !seen[id] {
			w.apply(ctx, id, nil)
		}
	}
	w.nextOffset, w.snapshotRead = list.next, true
}

func (w *workerListReader) apply(ctx context.Context, id string, value []byte) {
	if len(value) == 0 {
		w.unlist(ctx, id)
		return
	}
	e, err := platform.DecodeWorker(id, value)
	if err != nil {
		// An entry written by another program describes no worker.
		w.leader.cfg.Metrics.Counter("host_list_entries_unreadable").Inc(1)
		w.unlist(ctx, id)
		return
	}
	w.listed[id] = true
	w.leader.push(ctx, region.WorkerListed{Entry: e})
}

func (w *workerListReader) unlist(ctx context.Context, id string) {
	if w.listed[id] {
		delete(w.listed, id)
		w.leader.push(ctx, region.WorkerUnlisted{ID: id})
	}
}

// Watcher checks whether some host leads and whether the log can be read.
type Watcher struct {
	client *platform.Client
	mu     sync.Mutex // one poll at a time
	ends   [entryParts]int64
}

// NewWatcher returns a watcher that reads the log through client.
func NewWatcher(client *platform.Client) *Watcher { return &Watcher{client: client} }

// slowLogFactor times the latency of the log is added to the time without new entries after
// which the leader counts as failed: an append takes as long as a read, and the one that shows
// that the leader is alive may be queued behind another.
const slowLogFactor = 2

// NoNewEntries reports whether no entries are appended for the time wait, and longer where the
// log is slow; it is false if the log cannot be read. Every partition is read, as a leader may
// write to any.
func (w *Watcher) NoNewEntries(ctx context.Context, wait time.Duration) bool {
	began := boottime.Now()
	if _, ok := w.poll(ctx, 0); !ok { // the first poll finds the ends
		return false
	}
	took := boottime.Now() - began
	grown, ok := w.poll(ctx, wait+slowLogFactor*took)
	return ok && !grown
}

// LogReadable reports whether every partition of the entries can be read. A host that takes over
// must fence off and read them all: with one of them down it could not complete loading, and
// the state that only the present leader has would be lost.
func (w *Watcher) LogReadable(ctx context.Context) bool {
	_, ok := w.poll(ctx, 0)
	return ok
}

// poll reads all partitions concurrently and waits up to wait for new entries. newEntries
// reports whether there are any; ok is false if a partition cannot be read.
func (w *Watcher) poll(ctx context.Context, wait time.Duration) (newEntries, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var (
		group conc.WaitGroup
		more  [entryParts]bool
		errs  [entryParts]error
	)
	for part := range w.ends {
		group.Go(func() {
			b, err := w.client.ReadLog(ctx, readTimeout, platform.Read{
				Topic: TopicEntries, Part: part, From: w.ends[part], Wait: wait, MaxKB: 1,
			})
			if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
				b.End, err = expired.First, nil
			}
			errs[part] = err
			if err == nil {
				more[part] = b.End > w.ends[part]
				w.ends[part] = b.End
			}
		})
	}
	group.Wait()
	for part := range errs {
		if errs[part] != nil {
			return false, false
		}
		newEntries = newEntries || more[part]
	}
	return newEntries, true
}
