package measure

import "testing"

func TestProbe(t *testing.T) {
	for _, name := range Names() {
		tr := Generate(name, 1)
		for _, p := range Policies() {
			r := Replay(tr, p)
			t.Logf("%-15s %-8s jobs=%d ref=%d notrun=%d unk=%d fail=%d ran=%d ends=%s busy=%s pack=%.4f dev=%.4f prederr=%s/%d assigned=%d ctl=%d us/step=%.1f", r.Trace, r.Policy, r.Jobs, r.Refused, r.NotRun, r.Unknown, r.Failed, r.Ran, r.Ends, r.Busy, r.Packing, r.Deviation, r.PredictionError, r.Predictions, r.Assigned, r.Controls, float64(r.Spent.Microseconds())/float64(r.Steps))
			for k, w := range r.Waits {
				if w.Tasks > 0 {
					t.Logf("      %-12s n=%d p50=%s p99=%s late=%d", Kind(k), w.Tasks, w.P50, w.P99, w.Late)
				}
			}
		}
	}
}
