package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// roomGrace is how long after a worker's capacity has shrunk a start may still use what it had:
// the time in which a host loses its contact, and one heartbeat of the worker.
const roomGrace = 4500 * time.Millisecond

// room is what a worker had before its capacity shrank.
type room struct {
	before model.Resources
	until  time.Duration
	most   model.Resources // what it had at any time
}

// resize changes a worker's capacity. The host list shows it with the worker's next report.
func (w *world) resize(fw *fakeWorker, milliCPU int64, report time.Duration) {
	if milliCPU < fw.entry.Capacity.MilliCPU {
		if w.now >= fw.room.until {
			fw.room.before = model.Resources{}
		}
		fw.room.before = elementwiseMax(fw.room.before, fw.entry.Capacity)
		fw.room.until = w.now + roomGrace
	}
	fw.room.most = elementwiseMax(fw.room.most, fw.entry.Capacity)
	fw.entry.Capacity.MilliCPU = milliCPU
	born := fw.entry.BornUnix
	w.after(report, func() {
		if !fw.down && fw.entry.BornUnix == born {
			w.listCapacity(fw, fw.entry)
		}
	})
}

// listCapacity delivers a worker's entry, with the capacity that starts in its incarnation have to
// keep to from now on. The entry of an earlier incarnation says nothing of the present one.
func (w *world) listCapacity(fw *fakeWorker, entry model.WorkerEntry) {
	if entry.BornUnix == fw.entry.BornUnix {
		fw.known = &entry.Capacity
	}
	if fw.listed != nil {
		fw.listed = &entry
	}
	w.deliver(WorkerListed{Entry: entry})
}

// capacity returns what starts may use now. A start that is executed late may use what the worker
// had when it was sent.
func (fw *fakeWorker) capacity(now time.Duration, late bool) model.Resources {
	if late {
		return elementwiseMax(fw.room.most, fw.entry.Capacity)
	}
	if now < fw.room.until {
		return elementwiseMax(fw.room.before, fw.entry.Capacity)
	}
	return fw.entry.Capacity
}

// checkRoomKnown fails the test if the scheduler sends a start to a worker on which it counts more
// as used than the capacity that the host list shows.
func (w *world) checkRoomKnown(o model.StartRequest) {
	if w.leaders != nil {
		return // each has read other entries
	}
	fw := w.workers[o.Worker.ID]
	if fw == nil || fw.known == nil || fw.down || fw.entry.BornUnix != o.Worker.BornUnix {
		return
	}
	if used := w.sched.workers[fw.entry.ID].used; !used.Fits(*fw.known) {
		w.fatal("a start is sent to %s, on which %v of %v are counted as used: %v run %d", fw.entry.ID, used, *fw.known, o.Task, o.Run)
	}
}
