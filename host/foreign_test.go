package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

// Guards against tasks that are started a second time beside their first runs, as another writer
// puts entries into the host list that name the address or the id of their worker and a later birth.
func TestForeignEntryStartsNoTaskAgain(t *testing.T) {
	const later = 1_000_000
	for name, write := range map[string]func(*fakeplatform.Worker){
		"other id": func(w *fakeplatform.Worker) { w.ListAs("agent", later) },
		"same id":  func(w *fakeplatform.Worker) { w.ListAs(w.ID, later) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestRegion(t, 2, 2, 2*time.Second)
			starts := func() (n int) {
				for _, w := range f.workers {
					for _, of := range w.Starts() {
						n += of
					}
				}
				return n
			}
			f.waitUntil("the job is accepted", func() bool {
				status, _ := f.call(f.leader(), http.MethodPost, jobPath(1), "k1", twoTasks)
				return status == http.StatusOK
			})
			f.waitUntil("its tasks run", func() bool { return starts() == 2 })
			for _, w := range f.workers {
				if len(w.Starts()) > 0 {
					write(w)
				}
			}
			f.waitUntil("the job is completed", func() bool { return f.completed(f.leader(), 1) })
			if n := starts(); n != 2 {
				t.Errorf("%d starts of two tasks", n)
			}
		})
	}
}
