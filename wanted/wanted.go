// Package wanted parses an INI file of the desired state into a fleet.Intent.
// Objects and fields that the file does not contain stay unchanged. A section
// with "state = absent" removes its object. The file does not contain API keys,
// because a key is shown only once and stored only as a hash.
//
//	[team grants]
//	share = 4
//	limit = 200
//
//	[service checks]
//	team      = grants
//	replicas  = 12
//	milli-cpu = 2000
//	memory    = 4GiB
//
//	[worker w07]
//	mark   = drain
//	reason = new memory on Friday
//
// The other sections are [upstream WORKER] and [host HOST], with the keys of
// [worker].
package wanted

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/settings"
)

// Load reads the file at path. It returns a *settings.UnreadableError or a
// *settings.InvalidError that lists every invalid field.
func Load(path string) (fleet.Intent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Intent{}, &settings.UnreadableError{File: path, Cause: err}
	}
	return Parse(path, data)
}

// Parse parses the contents of a file. It returns a *settings.UnreadableError or
// a *settings.InvalidError, as Load does, with name as the file name.
func Parse(name string, data []byte) (fleet.Intent, error) {
	file, err := settings.ReadINI(name, data)
	if err != nil {
		return fleet.Intent{}, err
	}
	r := &reader{file: file}
	for _, section := range file.Sections() {
		r.section(section)
	}
	if len(r.invalid) > 0 {
		return fleet.Intent{}, &settings.InvalidError{File: name, Fields: r.invalid}
	}
	return r.intent, nil
}

// reader collects the intent and the invalid fields of one file.
type reader struct {
	file    *ini.File
	intent  fleet.Intent
	invalid []*settings.FieldError
}

// Keys of the sections.
const (
	keyState    = "state"
	keyShare    = "share"
	keyLimit    = "limit"
	keyTeam     = "team"
	keyReplicas = "replicas"
	keyCPU      = "milli-cpu"
	keyMemory   = "memory"
	keyAccel    = "accelerators"
	keyTimeout  = "request-timeout"
	keyPayload  = "payload"
	keyMark     = "mark"
	keyReason   = "reason"
)

const (
	stateAbsent = "absent"
	markNone    = "none"
)

func (r *reader) addInvalid(section, key, value, allowed string) {
	r.invalid = append(r.invalid, &settings.FieldError{Section: section, Key: key, Value: value, Allowed: allowed})
}

// section reads one section. The first word of its name is the kind of object.
func (r *reader) section(section *ini.Section) {
	name := section.Name()
	kind, id, _ := strings.Cut(name, " ")
	id = strings.TrimSpace(id)
	switch {
	case name == ini.DefaultSection:
		for _, key := range section.KeyStrings() {
			r.addInvalid("", key, section.Key(key).Value(), "no key outside of a section")
		}
	case id == "":
		r.addInvalid(name, "", "", "a kind and a name: team, service, worker, upstream or host, then the name")
	case kind == string(fleet.KindTeam):
		r.team(name, ident.TeamID(id))
	case kind == string(fleet.KindService):
		r.service(name, ident.ServiceID(id))
	case kind == string(fleet.KindWorker), kind == string(fleet.KindUpstream), kind == string(fleet.KindHost):
		r.mark(name, fleet.Ref{Kind: fleet.ObjectKind(kind), ID: id})
	default:
		r.addInvalid(name, "", "", "a kind and a name: team, service, worker, upstream or host, then the name")
	}
}

// rejectUnknownKeys records every key of a section that is not in keys as an
// invalid field.
func (r *reader) rejectUnknownKeys(section string, keys ...string) {
	for _, key := range r.file.Section(section).KeyStrings() {
		if !slices.Contains(keys, key) {
			value, _ := settings.Value(r.file, section, key)
			r.addInvalid(section, key, value, "a known key: "+strings.Join(keys, ", "))
		}
	}
}

// value returns the value of a key and whether it occurs exactly once. A key
// that occurs more than once is recorded as an invalid field.
func (r *reader) value(section, key string) (string, bool) {
	value, count := settings.Value(r.file, section, key)
	if count > 1 {
		r.addInvalid(section, key, value, "the key once")
	}
	return value, count == 1
}

// nonNegative returns the value of a key as a whole number of at least zero, or
// nil if the key is not given or its value is invalid. It records an invalid
// value.
func (r *reader) nonNegative(section, key string) *int64 {
	value, given := r.value(section, key)
	if !given {
		return nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		r.addInvalid(section, key, value, "a whole number from 0 on")
		return nil
	}
	return &n
}

// absent reports whether the key "state" is given. A value other than "absent"
// is recorded as an invalid field.
func (r *reader) absent(section string) bool {
	value, given := r.value(section, keyState)
	if given && value != stateAbsent {
		r.addInvalid(section, keyState, value, "absent, or leave the key out")
	}
	return given
}

func (r *reader) team(section string, id ident.TeamID) {
	r.rejectUnknownKeys(section, keyShare, keyLimit, keyState)
	r.intent.Teams = append(r.intent.Teams, fleet.WantTeam{
		Team:   id,
		Share:  r.nonNegative(section, keyShare),
		Limit:  r.nonNegative(section, keyLimit),
		Absent: r.absent(section),
	})
}

func (r *reader) service(section string, id ident.ServiceID) {
	r.rejectUnknownKeys(section, keyTeam, keyReplicas, keyCPU, keyMemory, keyAccel, keyTimeout, keyPayload, keyState)
	want := fleet.WantService{Service: id, Absent: r.absent(section), Need: r.need(section)}
	if value, given := r.value(section, keyTeam); given {
		team := ident.TeamID(value)
		want.Team = &team
	}
	if n := r.nonNegative(section, keyReplicas); n != nil {
		replicas := int(*n)
		want.Replicas = &replicas
	}
	if value, given := r.value(section, keyPayload); given {
		want.Payload = &value
	}
	if value, given := r.value(section, keyTimeout); given {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout < 0 || timeout > fleet.MaxTimeout {
			r.addInvalid(section, keyTimeout, value, fmt.Sprintf("a duration from 0s to %v", fleet.MaxTimeout))
		}
		want.RequestTimeout = &timeout
	}
	r.intent.Services = append(r.intent.Services, want)
}

// need returns the resources of one replica, or nil if none of the three keys is
// given. If at least one is given, the missing ones are zero.
func (r *reader) need(section string) *resource.Vector {
	cpu := r.nonNegative(section, keyCPU)
	accelerators := r.nonNegative(section, keyAccel)
	memory, given := r.value(section, keyMemory)
	if cpu == nil && accelerators == nil && !given {
		return nil
	}
	var need resource.Vector
	if cpu != nil {
		need.MilliCPU = *cpu
	}
	if accelerators != nil {
		need.Accelerators = *accelerators
	}
	if given {
		size, ok := settings.ParseMiB(memory)
		if !ok {
			r.addInvalid(section, keyMemory, memory, "whole MiB with the unit, such as 512MiB or 4GiB")
		}
		need.MemoryMiB = size
	}
	return &need
}

func (r *reader) mark(section string, target fleet.Ref) {
	r.rejectUnknownKeys(section, keyMark, keyReason)
	mark, given := r.value(section, keyMark)
	reason, _ := r.value(section, keyReason)
	mode := fleet.Mode(mark)
	switch {
	case mark == markNone:
		mode = fleet.ModeNone
	case !given, mode != fleet.ModeCordon && mode != fleet.ModeDrain:
		r.addInvalid(section, keyMark, mark, "cordon, drain or none")
		return
	}
	r.intent.Marks = append(r.intent.Marks, fleet.WantMark{Target: target, Mode: mode, Reason: reason})
}
