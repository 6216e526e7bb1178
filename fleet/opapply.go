package fleet

import (
	"fmt"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Bounds of configured values.
const (
	MaxShare    = 1_000_000      // weight
	MaxLimit    = 1_000_000_000  // units
	MaxReplicas = 100_000        // of one service
	MaxTimeout  = 24 * time.Hour // of a request to a service
	MaxPayload  = 4 << 10        // bytes of a service's payload
	MaxReason   = 200            // bytes of a reason
	maxNameLen  = 128            // bytes of a worker's name, which the platform chooses
	maxNeed     = int64(1) << 40 // in any component of a replica's need
	maxTeams    = 10_000         // in the fleet
	maxServices = 100_000        // in the fleet
	maxKeys     = 100_000        // in the fleet
	maxMarks    = 200_000        // in the fleet
)

func (o *PutTeam) apply(d *draft) Rejection {
	ref := o.Object()
	old, exists := d.state.teams[o.Team]
	switch {
	case o.Create && exists:
		return &ExistsError{Object: ref}
	case !o.Create && !exists:
		return &MissingError{Object: ref}
	case !ident.ValidName(string(o.Team)):
		return &ValueError{Object: ref, Field: "name", Value: string(o.Team), Allowed: ident.NameRule}
	case o.Share < 1 || o.Share > MaxShare:
		return numberError(ref, "share", o.Share, 1, MaxShare)
	case o.Limit < 0 || o.Limit > MaxLimit:
		return numberError(ref, "limit", o.Limit, 0, MaxLimit)
	case !exists && len(d.state.teams) >= maxTeams:
		return fullError(ref, maxTeams)
	}
	created := old.Created
	if !exists {
		created = d.at
	}
	d.teams()[o.Team] = Team{ID: o.Team, Share: o.Share, Limit: o.Limit, Created: created, Revision: d.at}
	return nil
}

func (o *RemoveTeam) apply(d *draft) Rejection {
	if _, exists := d.state.teams[o.Team]; !exists {
		return &MissingError{Object: o.Object()}
	}
	keys, services := len(d.state.KeysOf(o.Team)), len(d.state.ServicesOf(o.Team))
	if keys+services > 0 {
		return &InUseError{Team: o.Team, Keys: keys, Services: services}
	}
	delete(d.teams(), o.Team)
	d.bury(o.Object())
	return nil
}

func (o *GiveKey) apply(d *draft) Rejection {
	ref := o.Object()
	_, exists := d.state.keys[o.Key]
	_, buried := d.state.gone[ref]
	switch {
	case exists || buried:
		// An identifier that was withdrawn must not come back to life, or a
		// page that says "withdrawn" would name a valid key.
		return &ExistsError{Object: ref}
	case !ident.ValidName(string(o.Key)):
		return &ValueError{Object: ref, Field: "id", Value: string(o.Key), Allowed: ident.NameRule}
	case o.Hash == KeyHash{}:
		return &ValueError{Object: ref, Field: "hash", Value: "", Allowed: "the SHA-256 of the key"}
	case len(d.state.keys) >= maxKeys:
		return fullError(ref, maxKeys)
	}
	if _, exists := d.state.teams[o.Team]; !exists {
		return &MissingError{Object: TeamRef(o.Team)}
	}
	d.keys()[o.Key] = Key{ID: o.Key, Team: o.Team, Hash: o.Hash, Revision: d.at}
	return nil
}

func (o *ExpireKey) apply(d *draft) Rejection {
	key, exists := d.state.keys[o.Key]
	if !exists {
		return &MissingError{Object: o.Object()}
	}
	if o.Until.IsZero() || !encodable(o.Until) || !o.Until.Equal(o.Until.Truncate(time.Second)) {
		return &ValueError{Object: o.Object(), Field: "until", Value: o.Until.String(), Allowed: "a time in whole seconds"}
	}
	key.Until = o.Until.UTC()
	key.Revision = d.at
	d.keys()[o.Key] = key
	return nil
}

func (o *WithdrawKey) apply(d *draft) Rejection {
	if _, exists := d.state.keys[o.Key]; !exists {
		return &MissingError{Object: o.Object()}
	}
	delete(d.keys(), o.Key)
	d.bury(o.Object())
	return nil
}

func (o *PutService) apply(d *draft) Rejection {
	ref := o.Object()
	_, exists := d.state.svcs[o.Service]
	switch {
	case !ident.ValidName(string(o.Service)):
		return &ValueError{Object: ref, Field: "name", Value: string(o.Service), Allowed: ident.NameRule}
	case o.Replicas < 0 || o.Replicas > MaxReplicas:
		return numberError(ref, "replicas", int64(o.Replicas), 0, MaxReplicas)
	case o.RequestTimeout < 0 || o.RequestTimeout > MaxTimeout:
		return &ValueError{Object: ref, Field: "request timeout", Value: o.RequestTimeout.String(), Allowed: "0s to 24h"}
	case len(o.Payload) > MaxPayload || !utf8.ValidString(o.Payload):
		return &ValueError{Object: ref, Field: "payload", Value: "(not shown)", Allowed: "at most 4096 bytes of UTF-8 text"}
	case !exists && len(d.state.svcs) >= maxServices:
		return fullError(ref, maxServices)
	}
	if _, exists := d.state.teams[o.Team]; !exists {
		return &MissingError{Object: TeamRef(o.Team)}
	}
	if reason := o.checkNeed(); reason != nil {
		return reason
	}
	d.services()[o.Service] = Service{
		ID: o.Service, Team: o.Team, Replicas: o.Replicas, Need: o.Need,
		RequestTimeout: o.RequestTimeout, Payload: o.Payload, Revision: d.at,
	}
	return nil
}

// checkNeed checks what one replica needs. Replicas belong to the compute
// class, so they take neither slots nor connections.
func (o *PutService) checkNeed() Rejection {
	need := o.Need
	largest := max(need.MilliCPU, need.MemoryMiB, need.Accelerators)
	switch {
	case need.Negative() || largest > maxNeed:
		return &ValueError{Object: o.Object(), Field: "need", Value: need.String(), Allowed: "amounts from 0 to 2^40"}
	case need.Slots != 0 || need.Connections != 0:
		return &ValueError{Object: o.Object(), Field: "need", Value: need.String(), Allowed: "processors, memory and accelerators only"}
	case o.Replicas > 0 && largest == 0:
		return &ValueError{Object: o.Object(), Field: "need", Value: need.String(), Allowed: "something, if there are replicas"}
	}
	return nil
}

func (o *RemoveService) apply(d *draft) Rejection {
	if _, exists := d.state.svcs[o.Service]; !exists {
		return &MissingError{Object: o.Object()}
	}
	delete(d.services(), o.Service)
	d.bury(o.Object())
	return nil
}

func (o *SetMark) apply(d *draft) Rejection {
	ref := o.Target
	_, exists := d.state.marks[ref]
	switch {
	case ref.Kind != KindWorker && ref.Kind != KindUpstream && ref.Kind != KindHost:
		return &ValueError{Object: ref, Field: "kind", Value: string(ref.Kind), Allowed: "worker, upstream or host"}
	case !validListed(ref.ID):
		return &ValueError{Object: ref, Field: "name", Value: ref.ID, Allowed: "1 to 128 visible ASCII characters"}
	case o.Mode != ModeNone && o.Mode != ModeCordon && o.Mode != ModeDrain:
		return &ValueError{Object: ref, Field: "mode", Value: string(o.Mode), Allowed: "cordon, drain or none"}
	case !validReason(o.Reason):
		return &ValueError{Object: ref, Field: "reason", Value: "(not shown)", Allowed: "at most 200 bytes of text in one line"}
	case o.Mode == ModeNone && !exists:
		return &MissingError{Object: ref}
	case !exists && len(d.state.marks) >= maxMarks:
		return fullError(ref, maxMarks)
	}
	if o.Mode == ModeNone {
		delete(d.marks(), ref)
		d.bury(ref)
		return nil
	}
	d.marks()[ref] = Mark{Mode: o.Mode, Reason: o.Reason, Revision: d.at}
	return nil
}

// validListed reports whether text may be a name from the host list.
func validListed(text string) bool {
	if text == "" || len(text) > maxNameLen {
		return false
	}
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// validReason reports whether text is one line that a terminal can show. A
// control character could rewrite what another operator sees on the screen.
func validReason(text string) bool {
	if len(text) > MaxReason || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// encodable reports whether a time can be rendered as JSON in UTC. A record can
// hold one that cannot: the first hour of the year 0 of a zone east of UTC. A
// State with such a time could not be encoded for peers.
func encodable(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= maxYear
}

// maxYear is the last year that RFC 3339 can hold.
const maxYear = 9999

func numberError(ref Ref, field string, value, least, most int64) *ValueError {
	return &ValueError{Object: ref, Field: field, Value: strconv.FormatInt(value, 10), Allowed: fmt.Sprintf("%d to %d", least, most)}
}

func fullError(ref Ref, most int) *ValueError {
	return &ValueError{Object: ref, Field: "count", Value: "one more", Allowed: fmt.Sprintf("at most %d of this kind", most)}
}
