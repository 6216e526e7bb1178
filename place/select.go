package place

import (
	"math"

	"github.com/fireflyfold/fireflyfold/resource"
)

// noLimit disables a limit on the number of workers.
const noLimit = math.MaxInt

// Placer selects workers for tasks in one Cell.
type Placer struct {
	cell     *Cell
	index    indexSource
	list     listSource
	all      allSource
	feasible feasible
	limit    limit
	scoring  scoring
}

// NewPlacer returns a Placer for the cell.
func NewPlacer(cell *Cell) *Placer {
	p := &Placer{cell: cell}
	p.index.index = &cell.index
	p.all.cell = cell
	p.feasible.cell = cell
	p.limit.from = &p.feasible
	return p
}

// Pack returns a worker that has few free resources left once the task is
// placed on it, or None if the need fits no worker. It returns the worker
// avoid only if no other candidate fits.
func (p *Placer) Pack(need resource.Vector, avoid Ref) Ref {
	p.index.descending = false
	return p.searchIndex(need, avoid, scorePacked)
}

// Emptiest returns a worker with many free resources, or None if the need fits
// no worker. It returns the worker avoid only if no other candidate fits.
func (p *Placer) Emptiest(need resource.Vector, avoid Ref) Ref {
	p.index.descending = true
	return p.searchIndex(need, avoid, scoreEmptiest)
}

// searchIndex searches a sample of each bucket, and all workers of the buckets
// if no worker in the samples fits.
func (p *Placer) searchIndex(need resource.Vector, avoid Ref, score scoreFunc) Ref {
	p.scoring = scoring{need: need, avoid: avoid}
	p.index.reset(&need, bucketSample)
	best := p.search(need, &p.index, 0, maxCandidates, score)
	if best == None && p.index.truncated {
		p.index.reset(&need, noLimit)
		best = p.search(need, &p.index, 0, maxCandidates, score)
	}
	return best
}

// PackIn is like Pack, but considers only the workers in refs and disregards
// the bars in ignore.
func (p *Placer) PackIn(refs []Ref, ignore Bars, need resource.Vector) Ref {
	p.scoring = scoring{need: need, avoid: None}
	p.list.reset(refs)
	return p.search(need, &p.list, ignore, noLimit, scorePacked)
}

// FirstFit returns the feasible worker at the lowest position, or None.
func (p *Placer) FirstFit(need resource.Vector) Ref {
	p.all.at = 0
	return p.search(need, &p.all, 0, 1, scoreEqual)
}

// Explain checks the need against all workers, disregarding the bars in ignore.
// It returns the rejections by reason and the number of feasible workers.
func (p *Placer) Explain(need resource.Vector, ignore Bars) (Rejections, int) {
	p.all.at = 0
	p.feasible.from = &p.all
	p.feasible.need = need
	p.feasible.ignore = ignore
	p.feasible.rejected = Rejections{}
	fitting := 0
	for p.feasible.next() != None {
		fitting++
	}
	return p.feasible.rejected, fitting
}

// Rejections returns the rejections of the last search. Workers that the index
// skipped are not counted.
func (p *Placer) Rejections() Rejections { return p.feasible.rejected }

// search scores at most maxFeasible feasible workers of the source and returns
// the one with the lowest score, the first of equals, or None.
func (p *Placer) search(need resource.Vector, from source, ignore Bars, maxFeasible int, scoreOf scoreFunc) Ref {
	p.feasible.from = from
	p.feasible.need = need
	p.feasible.ignore = ignore
	p.feasible.rejected = Rejections{}
	p.limit.remaining = maxFeasible
	best, lowest := None, int64(math.MaxInt64)
	for ref := p.limit.next(); ref != None; ref = p.limit.next() {
		if score := scoreOf(&p.scoring, ref, &p.cell.workers[ref]); score < lowest {
			best, lowest = ref, score
		}
	}
	return best
}
