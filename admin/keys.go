package admin

import (
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
)

// KeysOf lists the keys of a configuration, the withdrawn ones that are still
// remembered last. now is the wall clock.
func KeysOf(state *fleet.State, now time.Time) []KeyStatus {
	list := []KeyStatus{}
	for _, key := range state.Keys() {
		change := state.LastChange(fleet.KeyRef(key.ID))
		list = append(list, KeyStatus{
			Key: key.ID, Team: key.Team, State: keyState(key, now), Until: key.Until,
			Changed: key.Revision, By: change.Operator, Plan: change.Plan,
		})
	}
	for _, change := range state.Withdrawn() {
		list = append(list, KeyStatus{
			Key: fleet.KeyID(change.Object.ID), State: KeyWithdrawn,
			Changed: change.Offset, By: change.Operator, Plan: change.Plan,
		})
	}
	return list
}

func keyState(key fleet.Key, now time.Time) KeyState {
	switch {
	case key.Until.IsZero():
		return KeyValid
	case now.After(key.Until):
		return KeyEnded
	}
	return KeyEnding
}
