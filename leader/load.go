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

// load reads all that earlier leaders kept, up to the ends of the entries' partitions
// at which they were fenced off. It returns the offsets of the intake's partitions to go
// on from.
func (l *Leader) load(ctx context.Context, sched *region.Scheduler, ends []int64) ([]int64, error) {
	now := boottime.Now()
	sched.Step(now, region.Tick{UnixMs: time.Now().UnixMilli()})
	// The intake is read after the fence, so that every job of an entry is among
	// it; jobs are applied first, as entries refer to them.
	var (
		group               conc.WaitGroup
		intake              [][][]byte
		next                []int64
		entries             []*record.Entry
		intakeErr, entryErr error
	)
	group.Go(func() { intake, next, intakeErr = l.readParts(ctx, TopicIntake, IntakeParts, nil) })
	group.Go(func() { entries, entryErr = l.readEntries(ctx, ends) })
	group.Wait()
	if err := errors.Join(intakeErr, entryErr); err != nil {
		return nil, err
	}
	for part, records := range intake {
		l.publishOnly(sched.Step(now, l.decodeIntake(records)))
		l.intakeAt[part].Store(int64(now))
	}
	l.publishOnly(sched.Step(now, region.EntriesRead{Entries: entries}))
	return next, nil
}

// readParts reads the partitions of a topic at the same time, each up to its end
// in ends or, without ends, as far as it goes. It returns the records and the next
// offset of each. One after the other they would keep a region without a leader
// for as many round trips more, which a slow store makes seconds.
func (l *Leader) readParts(ctx context.Context, topic string, parts int, ends []int64) ([][][]byte, []int64, error) {
	records, next, errs := make([][][]byte, parts), make([]int64, parts), make([]error, parts)
	var group conc.WaitGroup
	for part := range parts {
		end := int64(-1)
		if ends != nil {
			end = ends[part]
		}
		group.Go(func() {
			next[part], errs[part] = l.readAll(ctx, topic, part, end, func(data []byte) {
				records[part] = append(records[part], data)
			})
		})
	}
	group.Wait()
	return records, next, errors.Join(errs...)
}

// readEntries reads what earlier leaders kept, in the order in which they wrote
// it. An entry that stands in two partitions counts once.
func (l *Leader) readEntries(ctx context.Context, ends []int64) ([]*record.Entry, error) {
	parts, _, err := l.readParts(ctx, TopicEntries, len(ends), ends)
	if err != nil {
		return nil, err
	}
	var all []*record.Entry
	for _, records := range parts {
		for _, data := range records {
			e := &record.Entry{}
			if err := proto.Unmarshal(data, e); err != nil {
				return nil, err
			}
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *record.Entry) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Seq, b.Seq))
	})
	return slices.CompactFunc(all, func(a, b *record.Entry) bool { return a.Fence == b.Fence && a.Seq == b.Seq }), nil
}

// publishOnly takes over states while loading; nothing else may be done then.
func (l *Leader) publishOnly(commands []region.Command) {
	for _, c := range commands {
		if p, ok := c.(region.Publish); ok {
			l.board.Set(p)
		}
	}
}

// fenceOff makes the log refuse appends of earlier leaders in every partition,
// and returns the ends of what they wrote.
func (l *Leader) fenceOff(ctx context.Context) ([]int64, error) {
	ends, errs := make([]int64, entryParts), make([]error, entryParts)
	var group conc.WaitGroup
	for part := range ends {
		group.Go(func() { ends[part], errs[part] = l.fencePart(ctx, part) })
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

func (l *Leader) fencePart(ctx context.Context, part int) (int64, error) {
	call := platform.Append{Topic: TopicEntries, Part: part, Producer: producer, Epoch: l.cfg.Fence, Seq: 0, ExpectedEnd: -1}
	for timeout := fenceTimeout; ; timeout = min(2*timeout, readTimeout) {
		got, err := l.cfg.Client.Append(ctx, timeout, call)
		switch {
		case err == nil:
			return got.End, nil
		case platform.Fenced(err):
			return 0, &DeposedError{Why: "a later leader has fenced this one off"}
		}
		l.cfg.Log.WithError(err).WithField("part", part).Warn("fence not written yet")
		if !boottime.Sleep(ctx, readRetry) {
			return 0, ctx.Err()
		}
	}
}

// readAll reads a partition up to its end, or to the end given if that is not
// negative, and returns the next offset.
func (l *Leader) readAll(ctx context.Context, topic string, part int, end int64, take func([]byte)) (int64, error) {
	var from int64
	tries := l.repeated("load_reads", "loading "+topic)
	size := newReadSize(l.cfg.LinkBps)
	for {
		b, err := l.cfg.Client.ReadLog(ctx, size.timeout, platform.Read{Topic: topic, Part: part, From: from, MaxKB: size.kb})
		if expired := (*platform.ExpiredError)(nil); asExpired(err, &expired) {
			from = expired.First
			continue
		}
		size.ended(err)
		if !tries.Ended(err) {
			if !boottime.Sleep(ctx, readRetry) {
				return 0, err
			}
			continue
		}
		for _, data := range b.Records {
			take(data)
		}
		from += int64(len(b.Records))
		stop := b.End
		if end >= 0 {
			stop = min(end, stop)
		}
		if from >= stop {
			return from, nil
		}
	}
}

// readSize is how much a read asks for and how long its answer may take. Over a narrow
// link that others use as well, a large answer never comes in time, however often it is
// asked for: after each failure less is asked for, and given more time.
type readSize struct {
	kb, most int
	timeout  time.Duration
}

// readStep is by how much a read's size changes after a failure or a success.
const readStep = 4

// newReadSize returns the size of the first read over a link.
func newReadSize(linkBps int64) readSize {
	most := mostReadKB
	if linkBps > 0 {
		most = min(max(int(float64(linkBps)*readTime.Seconds())>>10, leastReadKB), mostReadKB)
	}
	return readSize{kb: most, most: most, timeout: readTimeout}
}

func (s *readSize) ended(err error) {
	switch {
	case err == nil:
		s.kb = min(s.kb*readStep, s.most)
	case !platform.IsRefused(err):
		s.kb = max(s.kb/readStep, leastReadKB)
		s.timeout = min(2*s.timeout, mostReadTimeout)
	}
}
