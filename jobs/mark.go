package jobs

import (
	"bytes"
	"container/heap"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Anchor is a position in the stream with all that a reader needs to judge the
// records behind it.
type Anchor struct {
	After      ports.Offset `json:"after"`           // the next record read is After+1
	Epoch      Epoch        `json:"epoch,omitempty"` // in force there
	Num        uint64       `json:"num,omitempty"`   // highest number of the epoch so far
	FenceClock int64        `json:"fc,omitempty"`    // stream's time at the epoch's fence, ms
	Clock      int64        `json:"clock,omitempty"` // stream's time, ms
}

// Mark states a fact about the stream before it: a reader that starts at Start
// finds everything that lives. The fact stays true whoever wrote it and
// whatever follows, so a mark is believed even when its writer's epoch is over.
type Mark struct {
	Start Anchor `json:"start"`
}

// markField is in the encoding of every mark, and of few other records.
var markField = []byte(`"mark":{`)

// markIn returns the mark that a record carries.
func markIn(data []byte) (Mark, bool) {
	if !bytes.Contains(data, markField) {
		return Mark{}, false
	}
	rec, err := Decode(data)
	if err != nil || rec.Mark == nil {
		return Mark{}, false
	}
	return *rec.Mark, true
}

// start returns the oldest position that is needed to find every job whole.
func (f *Fold) start() Anchor {
	if j := f.oldest(); j != nil {
		return j.base
	}
	return f.at
}

// oldest returns the job whose whole state was written longest ago, or nil.
func (f *Fold) oldest() *Job {
	for len(f.bases) > 0 {
		e := f.bases[0]
		if j := f.jobs[e.job]; j != nil && j.base.After == e.after {
			return j
		}
		f.bases = f.bases[1:]
	}
	return nil
}

// oldestUpTo returns, oldest first, at most n jobs for which due holds; it
// stops at the first for which it does not.
func (f *Fold) oldestUpTo(n int, due func(*Job) bool) []*Job {
	var out []*Job
	f.oldest()
	for _, e := range f.bases {
		j := f.jobs[e.job]
		if j == nil || j.base.After != e.after {
			continue
		}
		if len(out) == n || !due(j) {
			break
		}
		out = append(out, j)
	}
	return out
}

// baseQueue lists where jobs were last written whole, in order of offset.
// Entries of jobs that were forgotten or written again are skipped.
type baseQueue []baseEntry

type baseEntry struct {
	job   ident.JobID
	after ports.Offset
}

// The queue of bases is compacted beyond this many entries for each job, and
// this many more.
const (
	basesPerJob = 2
	basesSpare  = 1024
)

// compactBases drops the entries of jobs that were forgotten or written again.
func (f *Fold) compactBases() {
	kept := make(baseQueue, 0, len(f.jobs)+basesSpare)
	for _, e := range f.bases {
		if j := f.jobs[e.job]; j != nil && j.base.After == e.after {
			kept = append(kept, e)
		}
	}
	f.bases = kept
}

func (q *baseQueue) push(e baseEntry) { *q = append(*q, e) }

// forgetHeap orders ended jobs by the time at which they are forgotten.
type forgetHeap struct{ entries forgetEntries }

type forgetEntry struct {
	at  int64 // stream's time, ms
	job ident.JobID
}

func (h *forgetHeap) push(e forgetEntry) { heap.Push(&h.entries, e) }

func (h *forgetHeap) pop() forgetEntry { return heap.Pop(&h.entries).(forgetEntry) }

func (h *forgetHeap) due(clock int64) bool {
	return len(h.entries) > 0 && h.entries[0].at <= clock
}

// forgetEntries implements heap.Interface.
type forgetEntries []forgetEntry

// Len implements heap.Interface.
func (e forgetEntries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e forgetEntries) Less(i, k int) bool { return e[i].at < e[k].at }

// Swap implements heap.Interface.
func (e forgetEntries) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *forgetEntries) Push(x any) { *e = append(*e, x.(forgetEntry)) }

// Pop implements heap.Interface.
func (e *forgetEntries) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
