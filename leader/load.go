package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

// load replays the intake, and the entries of earlier leaders up to ends, the offsets at which
// they were fenced off in each partition. It returns the next offset of each partition of the
// intake.
func (l *Leader) load(ctx context.Context, sched *region.Scheduler, ends []int64) ([]int64, error) {
	now := boottime.Now()
	sched.Handle(now, region.Tick{UnixMs: time.Now().UnixMilli()})
	// The intake is read after fencing, so that it contains every job that an entry
	// refers to; for the same reason it is applied first.
	var (
		group               conc.WaitGroup
		intake              []partition
		entries             []*record.Entry
		expired             bool
		intakeErr, entryErr error
	)
	group.Go(func() { intake, intakeErr = l.readPartitions(ctx, TopicIntake, IntakeParts, nil) })
	group.Go(func() { entries, expired, entryErr = l.readEntries(ctx, ends) })
	group.Wait()
	if err := errors.Join(intakeErr, entryErr); err != nil {
		return nil, err
	}
	if expired {
		if err := l.dropExpired(ctx, TopicIntake, intake); err != nil {
			return nil, err
		}
	}
	next := make([]int64, len(intake))
	for part, p := range intake {
		l.applyPublished(sched.Handle(now, l.decodeIntake(p.records)))
		l.intakeReadAt[part].Store(int64(now))
		next[part] = p.next
	}
	l.applyPublished(sched.Handle(now, region.EntriesRead{Entries: entries}))
	return next, nil
}

// partition is what was read of a partition: the records up to the offset next. first is the oldest
// retained offset at the newest read.
type partition struct {
	records     [][]byte
	first, next int64
}

// expire drops the records below the oldest retained offset.
func (p *partition) expire(first int64) {
	kept := min(max(p.next-first, 0), int64(len(p.records)))
	p.records = p.records[int64(len(p.records))-kept:]
}

// readPartitions reads the partitions of a topic concurrently, each up to its offset in ends
// or, if ends is nil, up to its present end. One after the other they would leave the region
// without a leader for as many more round trips, which takes seconds with a slow store.
func (l *Leader) readPartitions(ctx context.Context, topic string, parts int, ends []int64) ([]partition, error) {
	read, errs := make([]partition, parts), make([]error, parts)
	var group conc.WaitGroup
	for part := range parts {
		end := int64(-1)
		if ends != nil {
			end = ends[part]
		}
		group.Go(func() { read[part], errs[part] = l.readPartition(ctx, topic, part, end) })
	}
	group.Wait()
	return read, errors.Join(errs...)
}

// dropExpired drops the records that have expired since they were read.
//
// The guard is against a job whose submission was read just before it expired, while the ends of its
// tasks, which were appended later, had expired when the entries were read: the job would run again.
// It holds because a submission that is retained after the entries were read was retained all the
// while, and so were the entries that are newer.
func (l *Leader) dropExpired(ctx context.Context, topic string, read []partition) error {
	errs := make([]error, len(read))
	var group conc.WaitGroup
	for part := range read {
		group.Go(func() {
			end, err := l.readPartitionFrom(ctx, topic, part, read[part].next, -1)
			if errs[part] = err; err == nil {
				read[part].expire(end.first)
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// readEntries returns the entries of earlier leaders in the order in which they were written.
// An entry that was appended to two partitions is returned once. expired reports whether
// earlier ones have expired.
func (l *Leader) readEntries(ctx context.Context, ends []int64) (all []*record.Entry, expired bool, err error) {
	parts, err := l.readPartitions(ctx, TopicEntries, len(ends), ends)
	if err != nil {
		return nil, false, err
	}
	for _, p := range parts {
		expired = expired || p.first > 0
		for _, data := range p.records {
			e := &record.Entry{}
			if err := proto.Unmarshal(data, e); err != nil {
				return nil, false, err
			}
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *record.Entry) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Seq, b.Seq))
	})
	return slices.CompactFunc(all, func(a, b *record.Entry) bool { return a.Fence == b.Fence && a.Seq == b.Seq }), expired, nil
}

// applyPublished applies published states and crashes while loading. All other commands are
// dropped, as none may be executed before loading is completed.
func (l *Leader) applyPublished(commands []region.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case region.Publish:
			l.status.Apply(c)
		case region.CrashCounted:
			l.status.ApplyCrash(c)
		}
	}
}

// fencePartitions makes the log refuse appends of earlier leaders in every partition, and
// returns the end of each.
func (l *Leader) fencePartitions(ctx context.Context) ([]int64, error) {
	ends, errs := make([]int64, entryParts), make([]error, entryParts)
	var group conc.WaitGroup
	for part := range ends {
		group.Go(func() { ends[part], errs[part] = l.fencePartition(ctx, part) })
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	l.writer = logwriter.New(l.cfg.Client, logwriter.Target{
		Topic: TopicEntries, Parts: entryParts, Producer: producer, Epoch: l.cfg.Fence, FirstSeq: 1, CallBytes: l.cfg.CallBytes,
	})
	return ends, nil
}

func (l *Leader) fencePartition(ctx context.Context, part int) (int64, error) {
	call := platform.Append{Topic: TopicEntries, Part: part, Producer: producer, Epoch: l.cfg.Fence, Seq: 0, ExpectedEnd: -1}
	for timeout := firstFenceTimeout; ; timeout = min(2*timeout, readTimeout) {
		got, err := l.cfg.Client.Append(ctx, timeout, call)
		switch {
		case err == nil:
			return got.End, nil
		case platform.Fenced(err):
			return 0, &LeadershipLostError{Why: "a later leader has fenced off this one"}
		}
		l.cfg.Log.WithError(err).WithField("part", part).Warn("fence not written yet")
		if !boottime.Sleep(ctx, readRetryDelay) {
			return 0, ctx.Err()
		}
	}
}

// readPartition reads a partition up to its present end, or up to the given end if that is
// not negative.
func (l *Leader) readPartition(ctx context.Context, topic string, part int, end int64) (partition, error) {
	return l.readPartitionFrom(ctx, topic, part, 0, end)
}

// readPartitionFrom does the same from an offset on. What was read before others expired has expired
// as well, and is dropped.
func (l *Leader) readPartitionFrom(ctx context.Context, topic string, part int, from, end int64) (partition, error) {
	reporter := l.retryReporter("load_reads", "loading "+topic)
	size := newReadSize(l.cfg.LinkBps)
	p := partition{next: from}
	for {
		b, err := l.cfg.Client.ReadLog(ctx, size.timeout, platform.Read{Topic: topic, Part: part, From: p.next, MaxKB: size.kb})
		if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
			p = partition{first: expired.First, next: expired.First}
			continue
		}
		size.adjust(err)
		if !reporter.Observe(err) {
			if !boottime.Sleep(ctx, readRetryDelay) {
				return p, err
			}
			continue
		}
		p.records = append(p.records, b.Records...)
		p.next += int64(len(b.Records))
		p.first = max(p.first, b.First)
		stop := b.End
		if end >= 0 {
			stop = min(end, stop)
		}
		if p.next >= stop {
			return p, nil
		}
	}
}

// readSize is how much the next read requests and its timeout. Over a narrow, shared link a
// large response never arrives in time, however often it is requested: after each failure the
// size is reduced and the timeout extended.
type readSize struct {
	kb, maxKB int // KiB
	timeout   time.Duration
}

// readSizeFactor is the factor by which the size changes after a failure or a success.
const readSizeFactor = 4

// newReadSize returns the size of the first read over a link of linkBps bytes per second; 0
// means unknown.
func newReadSize(linkBps int64) readSize {
	maxKB := maxReadKB
	if linkBps > 0 {
		maxKB = min(max(int(float64(linkBps)*readTransferTime.Seconds())>>10, minReadKB), maxReadKB)
	}
	return readSize{kb: maxKB, maxKB: maxKB, timeout: readTimeout}
}

// adjust adapts the size to the result of a read. A refusal says nothing about the link.
func (s *readSize) adjust(err error) {
	switch {
	case err == nil:
		s.kb = min(s.kb*readSizeFactor, s.maxKB)
	case !platform.IsRefused(err):
		s.kb = max(s.kb/readSizeFactor, minReadKB)
		s.timeout = min(2*s.timeout, maxReadTimeout)
	}
}
