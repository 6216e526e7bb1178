package measure

import (
	"slices"
	"strconv"

	"github.com/sourcegraph/conc/iter"
)

// firstSeed is the first seed of the traces that means are taken over; the
// committed traces have seed 1.
const firstSeed = 2

// Means replays traces of a number of other seeds with each policy and returns
// the mean of each measure. One trace alone moves by a few tenths of a percent
// of packing with any change; the means tell such noise from an effect.
func Means(name string, seeds int) []Row {
	var rows []Row
	for _, policy := range Policies() {
		numbers := make([]uint64, seeds)
		for i := range numbers {
			numbers[i] = uint64(i + firstSeed)
		}
		all := iter.Map(numbers, func(seed *uint64) []Row {
			return Replay(Generate(name, *seed), policy).Rows()
		})
		rows = append(rows, mean(all, seeds)...)
	}
	return rows
}

// mean averages the values of rows of equal measures. Rows that are no numbers,
// or that a replay lacks, are left out.
func mean(all [][]Row, seeds int) []Row {
	var rows []Row
	for _, row := range all[0] {
		sum, found := 0.0, 0
		for _, other := range all {
			i := slices.IndexFunc(other, func(r Row) bool { return r.Measure == row.Measure })
			if i < 0 {
				continue
			}
			value, err := strconv.ParseFloat(other[i].Value, 64)
			if err != nil {
				continue
			}
			sum += value
			found++
		}
		if found != len(all) || !row.Exact {
			continue
		}
		row.Trace += ", mean of " + strconv.Itoa(seeds) + " seeds"
		row.Value = decimal(sum / float64(found))
		rows = append(rows, row)
	}
	return rows
}
