package region

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task that waits behind calls for advice about workers that do not exist: another
// writer has put many sound entries into the host list, and nothing answers at their addresses, or
// another worker does. Only the first calls may name them, before they were asked.
func TestNoAdviceAboutWorkersThatNeverAnswered(t *testing.T) {
	for name, address := range map[string]string{"nothing there": "10.9.9.9:1", "another worker there": "w1"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runTime = func(model.TaskID) time.Duration { return time.Second }
			fw := w.addWorker("w1", 8)
			if address == "w1" {
				address = fw.entry.Address
			}
			w.startLeader()
			w.run(200 * time.Millisecond)
			for i := range 400 {
				e := fw.entry
				e.ID, e.Address, e.BornUnix = fmt.Sprintf("agent%03d", i), address, w.now.Milliseconds()
				w.deliver(WorkerListed{Entry: e})
			}
			w.run(2 * time.Second)
			named := 0
			w.seesAdvice = func(c Advise) {
				for _, id := range c.Workers {
					if strings.HasPrefix(id, "agent") {
						named++
					}
				}
			}
			for i := range 5 {
				w.submit(advised(fmt.Sprintf("job%d", i), &record.Step{}))
				w.run(500 * time.Millisecond)
			}
			if named > 0 {
				t.Errorf("calls for advice named workers that never answered %d times", named)
			}
			w.run(20 * time.Second)
			w.mustComplete("job0", "job1", "job2", "job3", "job4")
		})
	}
}
