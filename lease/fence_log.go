package lease

import (
	"encoding/json"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// fenceRecord is one record of the stream of fences.
type fenceRecord struct {
	Holder   ident.Holder     `json:"h"`
	Fences   []Key            `json:"f,omitempty"` // leases that the holder takes
	Releases []releasedRecord `json:"r,omitempty"` // and gives back
}

// releasedRecord gives a lease back. It is void unless its epoch is in force.
type releasedRecord struct {
	Key   Key         `json:"k"`
	Epoch ports.Epoch `json:"e"`
}

// owner is what the log says of one lease.
type owner struct {
	held   bool
	holder ident.Holder
	epoch  ports.Epoch // offset of the fence
	free   bool        // the owner before had given the lease back
}

// fenceFold is the state of the stream of fences: the newest fence counts.
type fenceFold struct {
	owners map[Key]owner
}

func newFenceFold() *fenceFold { return &fenceFold{owners: map[Key]owner{}} }

// add folds one record and returns its writer. A record that cannot be read
// changes nothing, on every host alike.
func (f *fenceFold) add(rec ports.Record) ident.Holder {
	var body fenceRecord
	if json.Unmarshal(rec.Data, &body) != nil || body.Holder.IsZero() {
		return ident.Holder{}
	}
	for _, r := range body.Releases {
		o := f.owners[r.Key]
		if o.held && o.holder == body.Holder && o.epoch == r.Epoch {
			f.owners[r.Key] = owner{free: true}
		}
	}
	for _, key := range body.Fences {
		o := f.owners[key]
		if o.held && o.holder == body.Holder {
			continue // written again; the ownership goes on
		}
		f.owners[key] = owner{
			held: true, holder: body.Holder, epoch: ports.Epoch(rec.Offset), free: !o.held && o.free,
		}
	}
	return body.Holder
}

// logged takes in an answer of the log.
func (a *LogArbiter) logged(now time.Duration, ev stream.Event) {
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

// pageRead folds a page and renews the proof.
//
// It guards against a host that was away for longer than the log keeps its
// records: what expired may have been a fence, so nothing that was known
// counts any more, and every lease is waited for as if its owner were alive.
func (a *LogArbiter) pageRead(ev stream.PageRead) {
	ans := a.reader.Page(ev)
	if ans.Stale {
		return
	}
	if ans.Expired {
		a.fences = newFenceFold()
		a.known = false
		a.reader.Seek(ev.Page.First - 1)
		return
	}
	for _, rec := range ans.Records {
		writer := a.fences.add(rec)
		if a.known {
			// Whoever writes now is not gone. Without this, two hosts that presume
			// each other gone would take the lease from each other for ever.
			delete(a.gone, writer)
		}
		a.reader.Take(rec.Offset)
	}
	if ans.AtEnd {
		a.proven = ans.SentAt
		a.known = true
	}
}

// sendRecords writes all that is to be written as one record. What came of it
// is read back; if it is not, it is written again after RequestTimeout.
func (a *LogArbiter) sendRecords(now time.Duration) {
	if !a.appender.Ready(now, a.opts.AppendEvery) {
		return
	}
	rec := fenceRecord{Holder: a.opts.Self}
	for _, key := range sortedKeys(a.claims) {
		c := a.claims[key]
		if !c.fence && c.release == 0 || now < c.writeAt {
			continue
		}
		c.writeAt = now + a.opts.RequestTimeout
		if c.fence {
			rec.Fences = append(rec.Fences, key)
			c.fencedAt = now
		} else {
			rec.Releases = append(rec.Releases, releasedRecord{Key: key, Epoch: c.release})
		}
	}
	if len(rec.Fences)+len(rec.Releases) == 0 {
		return
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return // names and numbers can always be rendered
	}
	a.out = append(a.out, AppendFences{a.appender.Send(now, [][]byte{data})})
}
