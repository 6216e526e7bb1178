package faultmatrix

import (
	"fmt"
	"strings"
	"testing"
)

// matrixSeed is the seed of every cell of the table.
const matrixSeed = 20_26

// Every fault strikes at every step. Whatever happens, callers and operators
// see every promise kept over the whole history, and the fleet does all its
// work again afterwards.
func TestFaultMatrix(t *testing.T) {
	cells := []Cell{{Step: StepStart, Faults: []Fault{FaultNone}}}
	for _, step := range Steps {
		for _, fault := range Faults {
			cells = append(cells, Cell{Step: step, Faults: []Fault{fault}})
		}
	}
	for _, cell := range append(cells, Pairs...) {
		cell.Seed = matrixSeed
		t.Run(cell.name(), func(t *testing.T) {
			t.Parallel()
			runCell(t, cell)
		})
	}
}

func (c Cell) name() string {
	names := make([]string, len(c.Faults))
	for i, f := range c.Faults {
		names[i] = string(f)
	}
	return fmt.Sprintf("%s/%s", c.Step, strings.Join(names, "+"))
}

// runCell plays a cell and reports each broken promise.
func runCell(t *testing.T, cell Cell) {
	t.Helper()
	if len(cell.Faults) == 1 {
		if why := Impossible(cell.Step, cell.Faults[0]); why != "" {
			t.Logf("%-60s cannot occur: %s", cell.name(), why)
			return
		}
	}
	r := cell.Run()
	if !r.Struck {
		t.Fatalf("%s: the step did not happen", cell.name())
	}
	for _, v := range r.Broken {
		t.Errorf("%s: %v", cell.name(), v)
	}
	counts := r.World.audit.Counts()
	t.Logf("%-60s struck at %v, %d starts, %d requests, %d jobs", cell.name(), r.At, counts.Starts, len(r.World.hist.Requests), len(r.World.hist.Jobs))
}
