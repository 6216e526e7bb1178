package fleet

import (
	"maps"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// draft is the next State while it is made. A map is copied before it is
// written for the first time, so the State that readers hold never changes and
// a change costs only the maps that it touches.
type draft struct {
	state State
	at    ports.Offset // of the record that is applied

	ownTeams, ownKeys, ownServices, ownMarks, ownGone bool
}

// newDraft starts the State after the record at offset at.
func newDraft(s *State, at ports.Offset) *draft {
	d := &draft{state: *s, at: at}
	d.state.offset = at
	return d
}

// own returns *m ready for writing, copied if it is still shared.
func own[K comparable, V any](m *map[K]V, owned *bool) map[K]V {
	if *owned {
		return *m
	}
	if *m == nil {
		*m = make(map[K]V)
	} else {
		*m = maps.Clone(*m)
	}
	*owned = true
	return *m
}

func (d *draft) teams() map[ident.TeamID]Team { return own(&d.state.teams, &d.ownTeams) }
func (d *draft) keys() map[KeyID]Key          { return own(&d.state.keys, &d.ownKeys) }
func (d *draft) marks() map[Ref]Mark          { return own(&d.state.marks, &d.ownMarks) }
func (d *draft) services() map[ident.ServiceID]Service {
	return own(&d.state.svcs, &d.ownServices)
}
func (d *draft) gone() map[Ref]ports.Offset { return own(&d.state.gone, &d.ownGone) }

// bury remembers that an object was removed. Without it a plan made before the
// removal would not be seen to be stale.
func (d *draft) bury(ref Ref) { d.gone()[ref] = d.at }

// forget drops what no plan can ask for any more. Plans older than PlanWindow
// are rejected whatever they touch, so nothing older than that is needed.
func (d *draft) forget() {
	if d.at%forgetEvery != 0 || d.at < PlanWindow {
		return
	}
	oldest := d.at - PlanWindow
	for _, at := range d.state.gone {
		if at >= oldest {
			continue
		}
		gone := d.gone()
		maps.DeleteFunc(gone, func(_ Ref, at ports.Offset) bool { return at < oldest })
		return
	}
}

// forgetEvery is the number of records between two cleanings. It depends on
// the offset alone, so every host cleans at the same records.
const forgetEvery = 64
