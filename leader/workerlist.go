package leader

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

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
	w := newWorkerListReader(l)
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
	supersededAt map[string]time.Duration // since when the newest entry of a listed worker cannot be read
	unreadable   unreadableEntries
	nextOffset   int64
	snapshotRead bool // the whole list has been read; changes follow from nextOffset on
}

func newWorkerListReader(l *Leader) *workerListReader {
	return &workerListReader{
		leader: l, listed: make(map[string]bool), supersededAt: make(map[string]time.Duration),
		unreadable: unreadableEntries{log: l.cfg.Log, metrics: l.cfg.Metrics, reported: make(map[string]bool)},
	}
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
	w.unlistSuperseded(ctx)
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
		_, superseded := w.supersededAt[id] // a newer entry of its own may have been before that one
		if !seen[id] || superseded {
			w.unlist(ctx, id)
		}
	}
	w.unreadable.keep(seen)
	w.nextOffset, w.snapshotRead = list.next, true
}

// apply applies the newest entry under an id.
//
// One that cannot be read was written by another program. It says nothing of the worker with that id,
// whose own entry before it holds: the worker writes the next one within a heartbeat interval.
func (w *workerListReader) apply(ctx context.Context, id string, value []byte) {
	if len(value) == 0 {
		w.unreadable.ended(id)
		w.unlist(ctx, id)
		return
	}
	e, err := platform.DecodeWorker(id, value)
	if err != nil {
		w.unreadable.read(id, err, boottime.Now())
		if _, known := w.supersededAt[id]; w.listed[id] && !known {
			w.supersededAt[id] = boottime.Now()
		}
		return
	}
	w.unreadable.ended(id)
	delete(w.supersededAt, id)
	w.listed[id] = true
	w.leader.push(ctx, region.WorkerListed{Entry: e})
}

// silentHeartbeats is after how many heartbeat intervals without one the platform removes the entry of
// a worker.
const silentHeartbeats = 3

// unlistSuperseded unlists workers that have not replaced an entry of another program for as long as
// the platform would have kept theirs.
func (w *workerListReader) unlistSuperseded(ctx context.Context) {
	for id, since := range w.supersededAt {
		if boottime.Now()-since > silentHeartbeats*w.leader.cfg.WorkerHeartbeat {
			w.unlist(ctx, id)
		}
	}
}

func (w *workerListReader) unlist(ctx context.Context, id string) {
	delete(w.supersededAt, id)
	if w.listed[id] {
		delete(w.listed, id)
		w.leader.push(ctx, region.WorkerUnlisted{ID: id})
	}
}
