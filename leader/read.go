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

// readIntake follows one partition of the submissions and cancellations of all hosts.
func (l *Leader) readIntake(ctx context.Context, part int, from int64) {
	tries := l.repeated("intake_reads", "reading the intake")
	for ctx.Err() == nil {
		sent := boottime.Now()
		b, err := l.cfg.Client.ReadLog(ctx, readTimeout, platform.Read{Topic: TopicIntake, Part: part, From: from, Wait: readWait})
		if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
			l.cfg.Log.WithError(err).Error("records of the intake expired unread")
			from = expired.First
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !tries.Ended(err) {
			boottime.Sleep(ctx, readRetry)
			continue
		}
		from += int64(len(b.Records))
		l.intakeAt[part].Store(int64(sent))
		if ev := l.decodeIntake(b.Records); len(ev.Records) > 0 {
			l.push(ctx, ev)
			boottime.Sleep(ctx, intakeGap)
		}
	}
}

// repeated tells of reads of the log that go on as long as this host leads.
func (l *Leader) repeated(name, what string) telemetry.Repeated {
	return telemetry.Repeated{Name: name, What: what, Log: l.cfg.Log, Metrics: l.cfg.Metrics}
}

func (l *Leader) decodeIntake(records [][]byte) region.IntakeRead {
	var ev region.IntakeRead
	for _, data := range records {
		r := &record.Intake{}
		if err := proto.Unmarshal(data, r); err != nil {
			l.cfg.Log.WithError(err).Error("record of the intake cannot be read")
			continue
		}
		ev.Records = append(ev.Records, r)
	}
	return ev
}

// watchWorkers follows the host list.
func (l *Leader) watchWorkers(ctx context.Context) {
	w := &workerWatch{leader: l, listed: make(map[string]bool)}
	tries := l.repeated("host_list_reads", "reading the host list")
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() == nil && !tries.Ended(err) {
			boottime.Sleep(ctx, readRetry)
		}
	}
}

// workerWatch is how far the host list has been read.
type workerWatch struct {
	leader *Leader
	listed map[string]bool
	next   int64
	whole  bool // the list has been read whole, and is followed from next on
}

// follow reads on.
func (w *workerWatch) follow(ctx context.Context) error {
	if !w.whole {
		return w.readWhole(ctx)
	}
	began := boottime.Now()
	b, err := w.leader.cfg.Client.ReadLog(ctx, readTimeout, platform.Read{Topic: platform.TopicWorkers, From: w.next, Wait: readWait})
	if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
		// The list's history may be dropped at any time; what is newest stays.
		w.whole = false
		return nil
	}
	if err != nil {
		return err
	}
	w.next += int64(len(b.Records))
	for _, data := range b.Records {
		key, value, err := platform.DecodeKeyed(data)
		if err != nil {
			w.leader.cfg.Log.WithError(err).Warn("record of the host list cannot be read")
			continue
		}
		w.entry(ctx, key, value)
	}
	if left := listEvery - (boottime.Now() - began); left > 0 {
		boottime.Sleep(ctx, left)
	}
	return nil
}

func (w *workerWatch) readWhole(ctx context.Context) error {
	items, next, err := w.leader.cfg.Client.Newest(ctx, readTimeout, platform.TopicWorkers)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
		w.entry(ctx, item.Key, item.Value)
	}
	for id := range w.listed {
		if !seen[id] {
			w.entry(ctx, id, nil)
		}
	}
	w.next, w.whole = next, true
	return nil
}

func (w *workerWatch) entry(ctx context.Context, id string, value []byte) {
	if len(value) == 0 {
		w.gone(ctx, id)
		return
	}
	e, err := platform.DecodeWorker(id, value)
	if err != nil {
		// An entry of another writer names no worker.
		w.leader.cfg.Metrics.Counter("host_list_entries_unreadable").Inc(1)
		w.gone(ctx, id)
		return
	}
	w.listed[id] = true
	w.leader.push(ctx, region.WorkerListed{Entry: e})
}

func (w *workerWatch) gone(ctx context.Context, id string) {
	if w.listed[id] {
		delete(w.listed, id)
		w.leader.push(ctx, region.WorkerUnlisted{ID: id})
	}
}

// Watcher looks whether some host leads and reaches the log.
type Watcher struct {
	client *platform.Client
	mu     sync.Mutex // one look at a time
	ends   [entryParts]int64
}

// NewWatcher returns a watcher.
func NewWatcher(client *platform.Client) *Watcher { return &Watcher{client: client} }

// slowLogFactor times as long as the log takes for a read is added to the time for
// which entries must stand still: an append takes as long, and the one that shows
// the leader may wait behind another.
const slowLogFactor = 2

// Silent reports whether the region's entries stand still for a while, and longer
// where the log is slow. Every partition has to be read for it, as a leader may
// write to any.
func (w *Watcher) Silent(ctx context.Context, wait time.Duration) bool {
	began := boottime.Now()
	if _, ok := w.grown(ctx, 0); !ok { // find the ends first
		return false
	}
	took := boottime.Now() - began
	grown, ok := w.grown(ctx, wait+slowLogFactor*took)
	return ok && !grown
}

// Reachable reports whether every partition of the entries can be read. A host
// that takes over must fence them all off and read them all: with one of them
// down it would be stuck, and what the present leader knows would be lost.
func (w *Watcher) Reachable(ctx context.Context) bool {
	_, ok := w.grown(ctx, 0)
	return ok
}

// grown reads all partitions at once; ok is false if one cannot be read.
func (w *Watcher) grown(ctx context.Context, wait time.Duration) (grown, ok bool) {
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
		grown = grown || more[part]
	}
	return grown, true
}
