package ledger

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

// A zone's scheduling moves to another host, and with it 10 running tasks. The
// former scheduler hands their units over; its append may be lost, late,
// doubled or unanswered. Both must agree at the end: the units are the new
// host's and in use there, and the former host has none of them, used or free.
func TestUnitsMoveWithTheirTasks(t *testing.T) {
	for _, fate := range []fakelog.Fate{fakelog.AnswerLost, fakelog.RequestLost, fakelog.Late, fakelog.Doubled} {
		w := newWorld(t, "a", "a")
		w.run(2 * time.Second)
		w.configure(acme, 100)
		w.run(2 * time.Second)
		from, to := w.hosts[0], w.hosts[1]
		const moved = 10
		w.mustUse(from, moved)
		to.holder.Count(acme, moved) // adopted: counted before the units come
		if free := to.holder.Free(acme); free != 50-moved {
			t.Errorf("the adopter could use %d units, want %d", free, 50-moved)
		}
		w.step(from, HandOver{ID: 7, To: to.name, Units: map[ident.TeamID]int64{acme: moved}})
		for range 20 {
			w.step(from, Tick{})
			if i := from.calls.Append(); i >= 0 {
				w.answer(from, i, fate)
				break
			}
			w.now += 50 * time.Millisecond
		}
		w.run(3 * time.Second)
		for w.log.LateGroups() > 0 {
			w.log.LandLate(0)
		}
		w.run(3 * time.Second)
		if !heard[HandedOver](from) {
			t.Errorf("fate %v: not told that the units moved", fate)
		}
		if used, held := from.holder.Used(acme), from.holder.Held(acme); used != 0 || held != 50-moved {
			t.Errorf("fate %v: the former host uses %d and holds %d, want 0 and %d", fate, used, held, 50-moved)
		}
		if held := to.holder.Held(acme); held != 50+moved {
			t.Errorf("fate %v: the adopter holds %d, want %d", fate, held, 50+moved)
		}
	}
}

// The host that adopted the tasks leaves before the units reach it. They must
// stay in use where they are: the tasks may run on.
func TestHandOverToOneThatLeftIsVoid(t *testing.T) {
	w := newWorld(t, "a", "a", "a")
	w.run(2 * time.Second)
	w.configure(acme, 90)
	w.run(2 * time.Second)
	from := w.hosts[0]
	w.mustUse(from, 10)
	gone := ident.Holder{Host: "never-joined", Incarnation: 9}
	w.step(from, HandOver{ID: 8, To: gone, Units: map[ident.TeamID]int64{acme: 10}})
	w.run(5 * time.Second)
	if !heard[HandOverVoid](from) {
		t.Error("not told that the units could not move")
	}
	if used, held := from.holder.Used(acme), from.holder.Held(acme); used != 10 || held != 30 {
		t.Errorf("uses %d and holds %d, want 10 and 30", used, held)
	}
}
