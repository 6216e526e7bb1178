package fleet

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

func (m *maker) key(want WantKey) Rejection {
	if reason := m.once(KeyRef(want.Key)); reason != nil {
		return reason
	}
	switch want.Action {
	case KeyGive:
		return m.giveKey(want)
	case KeyRotate:
		return m.rotateKey(want)
	case KeyWithdraw:
		return m.withdrawKey(want.Key)
	}
	return &ValueError{Object: KeyRef(want.Key), Field: "action", Value: string(want.Action), Allowed: "give, rotate or withdraw"}
}

func (m *maker) giveKey(want WantKey) Rejection {
	if reason := m.do(&GiveKey{Key: want.Key, Team: want.Team, Hash: want.Hash}); reason != nil {
		return reason
	}
	return m.tidyKeys(want.Team)
}

// rotateKey makes a new key valid for the old one's team and lets the old one
// end after the overlap, in one change: there is no moment without a key.
func (m *maker) rotateKey(want WantKey) Rejection {
	ref := KeyRef(want.Old)
	if reason := m.once(ref); reason != nil {
		return reason
	}
	old, exists := m.draft.state.keys[want.Old]
	switch {
	case !exists:
		return &MissingError{Object: ref}
	case !old.Until.IsZero():
		return &ValueError{Object: ref, Field: "old", Value: "ends " + wallTime(old.Until), Allowed: "a key that has not been rotated yet"}
	case want.Overlap < 0 || want.Overlap > MaxOverlap:
		return &ValueError{Object: ref, Field: "overlap", Value: want.Overlap.String(), Allowed: "0s to 2160h"}
	}
	if reason := m.giveKey(WantKey{Key: want.Key, Team: old.Team, Hash: want.Hash}); reason != nil {
		return reason
	}
	until := m.now.Add(want.Overlap).Truncate(time.Second)
	if reason := m.do(&ExpireKey{Key: want.Old, Until: until}); reason != nil {
		return reason
	}
	m.warn("Key %s stops working at %s by each host's own clock, counted from this plan. To stop it at once, withdraw it.",
		want.Old, wallTime(until))
	return nil
}

func (m *maker) withdrawKey(id KeyID) Rejection {
	key, exists := m.draft.state.keys[id]
	if !exists {
		return &MissingError{Object: KeyRef(id)}
	}
	if reason := m.do(&WithdrawKey{Key: id}); reason != nil {
		return reason
	}
	m.irreversible("Key %s can never be made valid again. Its callers need another key.", id)
	if len(m.draft.state.KeysOf(key.Team)) == 0 {
		m.warn("Team %s has no other key: everything it hands in will be refused.", key.Team)
	}
	m.warnCutOff()
	return nil
}

// warnCutOff says what a zone that cannot be reached does with withdrawn keys.
func (m *maker) warnCutOff() {
	m.warn("A zone that is cut off goes on accepting withdrawn keys until it hears of this change, or until [config] max-age of its hosts.")
}

// tidyKeys withdraws keys of a team that ended long ago.
func (m *maker) tidyKeys(team ident.TeamID) Rejection {
	for _, key := range m.draft.state.KeysOf(team) {
		if key.Until.IsZero() || m.now.Sub(key.Until) < expiredGrace || m.seen[KeyRef(key.ID)] {
			continue
		}
		m.seen[KeyRef(key.ID)] = true
		if reason := m.do(&WithdrawKey{Key: key.ID}); reason != nil {
			return reason
		}
	}
	return nil
}

func (m *maker) service(want WantService) Rejection {
	ref := ServiceRef(want.Service)
	if reason := m.once(ref); reason != nil {
		return reason
	}
	old, exists := m.draft.state.svcs[want.Service]
	if want.Absent {
		if !exists {
			return nil
		}
		return m.removeService(old)
	}
	if !exists && want.Team == nil {
		return &ValueError{Object: ref, Field: "team", Value: "", Allowed: "the name of a team; a new service needs one"}
	}
	op := mergeService(old, want)
	if exists && old == (Service{ID: op.Service, Team: op.Team, Replicas: op.Replicas, Need: op.Need,
		RequestTimeout: op.RequestTimeout, Payload: op.Payload, Revision: old.Revision}) {
		return nil
	}
	if reason := m.do(op); reason != nil {
		return reason
	}
	if op.Replicas < old.Replicas {
		m.touch(ref, m.impact.Service(want.Service))
		m.warn("%d replicas of service %s will be stopped.", old.Replicas-op.Replicas, want.Service)
	}
	if exists && op.Need != old.Need {
		m.warn("Replicas of service %s that run already keep what they have; the new need holds for those that start later.", want.Service)
	}
	if exists && op.Team != old.Team {
		m.warn("Replicas of service %s that run already go on counting against team %s.", want.Service, old.Team)
	}
	m.checkReplicas(op.Team)
	return nil
}

// mergeService fills what is not wanted otherwise from the old declaration.
func mergeService(old Service, want WantService) *PutService {
	op := &PutService{
		Service: want.Service, Team: old.Team, Replicas: old.Replicas, Need: old.Need,
		RequestTimeout: old.RequestTimeout, Payload: old.Payload,
	}
	if want.Team != nil {
		op.Team = *want.Team
	}
	if want.Replicas != nil {
		op.Replicas = *want.Replicas
	}
	if want.Need != nil {
		op.Need = *want.Need
	}
	if want.RequestTimeout != nil {
		op.RequestTimeout = *want.RequestTimeout
	}
	if want.Payload != nil {
		op.Payload = *want.Payload
	}
	return op
}

func (m *maker) removeService(service Service) Rejection {
	if reason := m.do(&RemoveService{Service: service.ID}); reason != nil {
		return reason
	}
	m.touch(ServiceRef(service.ID), m.impact.Service(service.ID))
	if service.Replicas > 0 {
		m.warn("%d replicas of service %s will be stopped.", service.Replicas, service.ID)
	}
	return nil
}

// checkReplicas warns if a team's services alone need more than its limit.
func (m *maker) checkReplicas(id ident.TeamID) {
	var units int64
	for _, service := range m.draft.state.ServicesOf(id) {
		units += int64(service.Replicas) * resource.LimitUnits(service.Need)
	}
	team := m.draft.state.teams[id]
	if units > team.Limit {
		m.warn("The services of team %s need %d units with all replicas; its limit is %d.", id, units, team.Limit)
	}
}
