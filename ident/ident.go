// Package ident defines the identifiers that travel between processes: zones,
// hosts, workers, teams, jobs and tasks.
//
// A task identifier is minted before the task may run, by the process that
// accepts it, and names that process: its availability zone, its host and its
// incarnation. Only that incarnation may start the task, so a process that
// restarts can never start a task of its former self a second time.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Zone names an availability zone.
type Zone string

// HostID names an entry host, as configured in its settings.
type HostID string

// WorkerID names a worker as listed by the platform.
type WorkerID string

// TeamID names a team.
type TeamID string

// ServiceID names a declared service whose replicas answer requests.
type ServiceID string

// Incarnation tells two lives of one host apart. It is drawn at process start
// and is never zero for a live process.
type Incarnation uint64

// Holder is one life of one host: the party that leases are granted to and
// that holds limit units.
type Holder struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
}

// IsZero reports whether h names no holder.
func (h Holder) IsZero() bool { return h == Holder{} }

// String renders the holder as "host~incarnation".
func (h Holder) String() string {
	return string(h.Host) + "~" + strconv.FormatUint(uint64(h.Incarnation), 36)
}

// TaskID identifies a task or a job over the whole fleet and for all time.
type TaskID struct {
	Zone        Zone        `json:"zone"`
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"`
}

// JobID identifies a durable job; tasks of the job are numbered below it.
type JobID = TaskID

// taskIDParts is the number of dot-separated parts of a rendered TaskID.
const taskIDParts = 4

// IsZero reports whether id names no task.
func (id TaskID) IsZero() bool { return id == TaskID{} }

// Holder returns the life of the host that minted the identifier.
func (id TaskID) Holder() Holder { return Holder{Host: id.Host, Incarnation: id.Incarnation} }

// String renders the identifier as "zone.host.incarnation.seq", the last two
// in base 36.
func (id TaskID) String() string {
	return string(id.Zone) + "." + string(id.Host) + "." +
		strconv.FormatUint(uint64(id.Incarnation), 36) + "." +
		strconv.FormatUint(id.Seq, 36)
}

// MarshalText implements encoding.TextMarshaler.
func (id TaskID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *TaskID) UnmarshalText(text []byte) error {
	parsed, err := ParseTaskID(string(text))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}

// MalformedIDError reports text that is no task identifier.
type MalformedIDError struct {
	Text string
}

// Error implements error.
func (e *MalformedIDError) Error() string {
	return fmt.Sprintf("malformed identifier %q: want zone.host.incarnation.seq", e.Text)
}

// ParseTaskID parses the form that TaskID.String renders. It returns a
// *MalformedIDError for anything else.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts || parts[0] == "" || parts[1] == "" {
		return TaskID{}, &MalformedIDError{Text: text}
	}
	inc, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return TaskID{}, &MalformedIDError{Text: text}
	}
	seq, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return TaskID{}, &MalformedIDError{Text: text}
	}
	return TaskID{Zone: Zone(parts[0]), Host: HostID(parts[1]), Incarnation: Incarnation(inc), Seq: seq}, nil
}

// AttemptID identifies one attempt to run one task of a job: index counts the
// tasks of the job from zero, attempt counts the tries of that task from one.
type AttemptID struct {
	Job     JobID `json:"job"`
	Index   int   `json:"index"`
	Attempt int   `json:"attempt"`
}

// String renders the attempt as "job/index/attempt".
func (a AttemptID) String() string {
	return a.Job.String() + "/" + strconv.Itoa(a.Index) + "/" + strconv.Itoa(a.Attempt)
}

// attemptParts is the number of slash-separated parts of a rendered AttemptID.
const attemptParts = 3

// ParseAttemptID parses the form that AttemptID.String renders. It returns a
// *MalformedIDError for anything else.
func ParseAttemptID(text string) (AttemptID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != attemptParts {
		return AttemptID{}, &MalformedIDError{Text: text}
	}
	job, err := ParseTaskID(parts[0])
	if err != nil {
		return AttemptID{}, err
	}
	index, err := strconv.Atoi(parts[1])
	if err != nil || index < 0 {
		return AttemptID{}, &MalformedIDError{Text: text}
	}
	attempt, err := strconv.Atoi(parts[2])
	if err != nil || attempt < 0 {
		return AttemptID{}, &MalformedIDError{Text: text}
	}
	return AttemptID{Job: job, Index: index, Attempt: attempt}, nil
}
