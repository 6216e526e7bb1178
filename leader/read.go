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

// validIntake reports whether the scheduler can keep a record of the intake.
func (l *Leader) validIntake(r *record.Intake) bool {
	err := checkIntake(r, l.cfg.CallBytes)
	if err != nil {
		l.cfg.Metrics.Counter("intake_records_invalid").Inc(1)
		l.cfg.Log.WithError(err).Error("intake record passed over")
	}
	return err == nil
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
		if !l.validIntake(r) {
			continue
		}
		ev.Records = append(ev.Records, r)
	}
	return ev
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
