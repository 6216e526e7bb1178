package lease

import (
	"encoding/json"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// fenceRecord is one record of the fence stream: the claims and releases of one
// holder. A fence claims a lease; its offset is the fencing token (epoch).
type fenceRecord struct {
	Holder   ident.Holder     `json:"h"`
	Fences   []Key            `json:"f,omitempty"` // leases that the holder claims
	Releases []releasedRecord `json:"r,omitempty"` // leases that it releases
}

// releasedRecord releases a lease. It has no effect unless its epoch is the
// current one.
type releasedRecord struct {
	Key   Key         `json:"k"`
	Epoch ports.Epoch `json:"e"`
}

// owner is the ownership of one lease according to the log.
type owner struct {
	held     bool
	holder   ident.Holder
	epoch    ports.Epoch // offset of the fence
	released bool        // the previous owner had released the lease
}

// fenceState is the replayed state of the fence stream. The newest fence of a
// lease determines its owner.
type fenceState struct {
	owners map[Key]owner
}

func newFenceState() *fenceState { return &fenceState{owners: map[Key]owner{}} }

// apply applies one record and returns its writer. A record that cannot be
// decoded is ignored, on every host alike.
func (f *fenceState) apply(rec ports.Record) ident.Holder {
	var body fenceRecord
	if json.Unmarshal(rec.Data, &body) != nil || body.Holder.IsZero() {
		return ident.Holder{}
	}
	for _, r := range body.Releases {
		o := f.owners[r.Key]
		if o.held && o.holder == body.Holder && o.epoch == r.Epoch {
			f.owners[r.Key] = owner{released: true}
		}
	}
	for _, key := range body.Fences {
		o := f.owners[key]
		if o.held && o.holder == body.Holder {
			continue // a refresh; ownership and epoch stay
		}
		f.owners[key] = owner{
			held: true, holder: body.Holder, epoch: ports.Epoch(rec.Offset), released: !o.held && o.released,
		}
	}
	return body.Holder
}

// logAnswered handles an answer of the log.
func (a *LogArbiter) logAnswered(now time.Duration, ev stream.Event) {
	switch ev := ev.(type) {
	case stream.PageRead:
		a.pageRead(ev)
	case stream.ReadFailed:
		a.reader.Failed(now, ev)
	case stream.AppendDone:
		a.appender.Done(ev.Tag)
	case stream.AppendFailed:
		a.appender.Failed(now, ev.Tag)
	}
}

// pageRead applies a page, and confirms ownership if the page reached the end of
// the stream.
//
// It guards against a host that read nothing for longer than the log retains
// records: the expired ones may contain a fence. The replayed state is dropped,
// and every lease is waited for as if its owner were alive.
func (a *LogArbiter) pageRead(ev stream.PageRead) {
	ans := a.reader.Page(ev)
	if ans.Stale {
		return
	}
	if ans.Expired {
		a.fences = newFenceState()
		a.caughtUp = false
		a.reader.Seek(ev.Page.First - 1)
		return
	}
	for _, rec := range ans.Records {
		writer := a.fences.apply(rec)
		if a.caughtUp {
			// A holder that writes is alive. Without this, two hosts that presume each
			// other dead would keep taking the lease over from each other.
			delete(a.presumedDead, writer)
		}
		a.reader.Take(rec.Offset)
	}
	if ans.AtEnd {
		a.confirmedAt = ans.SentAt
		a.caughtUp = true
	}
}

// sendRecords appends all due fences and releases as one record. The result is
// read back from the stream; a fence or release that has not been read back is
// appended again after RequestTimeout.
func (a *LogArbiter) sendRecords(now time.Duration) {
	if !a.appender.Ready(now, a.opts.AppendEvery) {
		return
	}
	rec := fenceRecord{Holder: a.opts.Self}
	for _, key := range sortedKeys(a.claims) {
		c := a.claims[key]
		if !c.writeFence && c.releaseEpoch == 0 || now < c.nextWrite {
			continue
		}
		c.nextWrite = now + a.opts.RequestTimeout
		if c.writeFence {
			rec.Fences = append(rec.Fences, key)
			c.fencedAt = now
		} else {
			rec.Releases = append(rec.Releases, releasedRecord{Key: key, Epoch: c.releaseEpoch})
		}
	}
	if len(rec.Fences)+len(rec.Releases) == 0 {
		return
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return // cannot happen: strings and numbers always marshal
	}
	a.out = append(a.out, AppendFences{a.appender.Send(now, [][]byte{data})})
}
