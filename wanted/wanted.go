// Package wanted reads an INI file of the state that an operator wants into a
// fleet.Intent. What the file does not mention stays as it is; a section with
// "state = absent" removes its object. Keys are not part of the file, because
// they are shown only once and stored only as a hash.
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
// *settings.InvalidError that names every bad field.
func Load(path string) (fleet.Intent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Intent{}, &settings.UnreadableError{File: path, Cause: err}
	}
	return Parse(path, data)
}

// Parse reads the text of a file; name stands for the file in errors. It
// returns the errors of Load.
func Parse(name string, data []byte) (fleet.Intent, error) {
	file, err := settings.ReadINI(name, data)
	if err != nil {
		return fleet.Intent{}, err
	}
	r := &reader{file: file}
	for _, section := range file.Sections() {
		r.section(section)
	}
	if len(r.bad) > 0 {
		return fleet.Intent{}, &settings.InvalidError{File: name, Fields: r.bad}
	}
	return r.intent, nil
}

// reader collects the intent and the bad fields of one file.
type reader struct {
	file   *ini.File
	intent fleet.Intent
	bad    []*settings.FieldError
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

func (r *reader) fail(section, key, value, allowed string) {
	r.bad = append(r.bad, &settings.FieldError{Section: section, Key: key, Value: value, Allowed: allowed})
}

// section reads one section by the first word of its name.
func (r *reader) section(section *ini.Section) {
	name := section.Name()
	kind, id, _ := strings.Cut(name, " ")
	id = strings.TrimSpace(id)
	switch {
	case name == ini.DefaultSection:
		for _, key := range section.KeyStrings() {
			r.fail("", key, section.Key(key).Value(), "no key outside of a section")
		}
	case id == "":
		r.fail(name, "", "", "a kind and a name: team, service, worker, upstream or host, then the name")
	case kind == string(fleet.KindTeam):
		r.team(name, ident.TeamID(id))
	case kind == string(fleet.KindService):
		r.service(name, ident.ServiceID(id))
	case kind == string(fleet.KindWorker), kind == string(fleet.KindUpstream), kind == string(fleet.KindHost):
		r.mark(name, fleet.Ref{Kind: fleet.ObjectKind(kind), ID: id})
	default:
		r.fail(name, "", "", "a kind and a name: team, service, worker, upstream or host, then the name")
	}
}

// known reports every key of a section that is not among keys.
func (r *reader) known(section string, keys ...string) {
	for _, key := range r.file.Section(section).KeyStrings() {
		if !slices.Contains(keys, key) {
			value, _ := settings.Value(r.file, section, key)
			r.fail(section, key, value, "a known key: "+strings.Join(keys, ", "))
		}
	}
}

// value returns the value of a key, or false if it is not given. A key given
// twice is a bad field.
func (r *reader) value(section, key string) (string, bool) {
	value, count := settings.Value(r.file, section, key)
	if count > 1 {
		r.fail(section, key, value, "the key once")
	}
	return value, count == 1
}

// number returns a whole number, or nil if the key is not given.
func (r *reader) number(section, key string) *int64 {
	value, given := r.value(section, key)
	if !given {
		return nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		r.fail(section, key, value, "a whole number from 0 on")
		return nil
	}
	return &n
}

// absent reads the key "state".
func (r *reader) absent(section string) bool {
	value, given := r.value(section, keyState)
	if given && value != stateAbsent {
		r.fail(section, keyState, value, "absent, or leave the key out")
	}
	return given
}

func (r *reader) team(section string, id ident.TeamID) {
	r.known(section, keyShare, keyLimit, keyState)
	r.intent.Teams = append(r.intent.Teams, fleet.WantTeam{
		Team:   id,
		Share:  r.number(section, keyShare),
		Limit:  r.number(section, keyLimit),
		Absent: r.absent(section),
	})
}

func (r *reader) service(section string, id ident.ServiceID) {
	r.known(section, keyTeam, keyReplicas, keyCPU, keyMemory, keyAccel, keyTimeout, keyPayload, keyState)
	want := fleet.WantService{Service: id, Absent: r.absent(section), Need: r.need(section)}
	if value, given := r.value(section, keyTeam); given {
		team := ident.TeamID(value)
		want.Team = &team
	}
	if n := r.number(section, keyReplicas); n != nil {
		replicas := int(*n)
		want.Replicas = &replicas
	}
	if value, given := r.value(section, keyPayload); given {
		want.Payload = &value
	}
	if value, given := r.value(section, keyTimeout); given {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout < 0 || timeout > fleet.MaxTimeout {
			r.fail(section, keyTimeout, value, fmt.Sprintf("a duration from 0s to %v", fleet.MaxTimeout))
		}
		want.RequestTimeout = &timeout
	}
	r.intent.Services = append(r.intent.Services, want)
}

// need reads what one replica needs, or returns nil if nothing of it is given.
// The three keys belong together: one that is left out counts as zero.
func (r *reader) need(section string) *resource.Vector {
	cpu := r.number(section, keyCPU)
	accelerators := r.number(section, keyAccel)
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
			r.fail(section, keyMemory, memory, "whole MiB with the unit, such as 512MiB or 4GiB")
		}
		need.MemoryMiB = size
	}
	return &need
}

func (r *reader) mark(section string, target fleet.Ref) {
	r.known(section, keyMark, keyReason)
	mark, given := r.value(section, keyMark)
	reason, _ := r.value(section, keyReason)
	mode := fleet.Mode(mark)
	switch {
	case mark == markNone:
		mode = fleet.ModeNone
	case !given, mode != fleet.ModeCordon && mode != fleet.ModeDrain:
		r.fail(section, keyMark, mark, "cordon, drain or none")
		return
	}
	r.intent.Marks = append(r.intent.Marks, fleet.WantMark{Target: target, Mode: mode, Reason: reason})
}
