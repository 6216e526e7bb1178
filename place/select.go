package place

import (
	"math"

	"github.com/fireflyfold/fireflyfold/resource"
)

// everyOne is a limit that ends no search.
const everyOne = math.MaxInt

// Placer finds workers for tasks in one Cell.
type Placer struct {
	cell     *Cell
	index    indexSource
	list     listSource
	all      allSource
	feasible feasible
	limit    limit
	ranking  ranking
}

// NewPlacer returns a placer for the cell.
func NewPlacer(cell *Cell) *Placer {
	p := &Placer{cell: cell}
	p.index.index = &cell.index
	p.all.cell = cell
	p.feasible.cell = cell
	p.limit.from = &p.feasible
	return p
}

// Pack returns a worker that the need fills well, or None if it fits nowhere.
// The worker avoid is taken only if there is no other.
func (p *Placer) Pack(need resource.Vector, avoid Ref) Ref {
	p.index.down = false
	return p.searchIndex(need, avoid, packed)
}

// Emptiest returns a worker with much free room, or None if the need fits
// nowhere. The worker avoid is taken only if there is no other.
func (p *Placer) Emptiest(need resource.Vector, avoid Ref) Ref {
	p.index.down = true
	return p.searchIndex(need, avoid, emptiest)
}

// searchIndex looks at a sample of each bucket, and at all if none fits.
func (p *Placer) searchIndex(need resource.Vector, avoid Ref, by rank) Ref {
	p.ranking = ranking{need: need, avoid: avoid}
	p.index.reset(&need, sampleOf)
	best := p.search(need, &p.index, 0, enough, by)
	if best == None && p.index.cut {
		p.index.reset(&need, everyOne)
		best = p.search(need, &p.index, 0, enough, by)
	}
	return best
}

// PackIn is Pack over a list of workers that may be barred by the bars ignore.
func (p *Placer) PackIn(refs []Ref, ignore Bars, need resource.Vector) Ref {
	p.ranking = ranking{need: need, avoid: None}
	p.list.reset(refs)
	return p.search(need, &p.list, ignore, everyOne, packed)
}

// FirstFit returns the first worker in the order of positions that fits.
func (p *Placer) FirstFit(need resource.Vector) Ref {
	p.all.at = 0
	return p.search(need, &p.all, 0, 1, first)
}

// Why counts, over all workers, why the need does not fit, and returns how
// many workers could take it.
func (p *Placer) Why(need resource.Vector, ignore Bars) (Rejections, int) {
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

// Rejections returns the counts of the last search. Workers that the index
// passed over are not in it.
func (p *Placer) Rejections() Rejections { return p.feasible.rejected }

// search runs the chain and returns the worker with the lowest rank, the first
// such one if there are several.
func (p *Placer) search(need resource.Vector, from source, ignore Bars, most int, by rank) Ref {
	p.feasible.from = from
	p.feasible.need = need
	p.feasible.ignore = ignore
	p.feasible.rejected = Rejections{}
	p.limit.left = most
	best, lowest := None, int64(math.MaxInt64)
	for ref := p.limit.next(); ref != None; ref = p.limit.next() {
		if score := by(&p.ranking, ref, &p.cell.workers[ref]); score < lowest {
			best, lowest = ref, score
		}
	}
	return best
}
