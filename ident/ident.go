// Package ident defines the identifiers that processes exchange: availability
// zones, hosts, workers, teams, services, jobs and tasks.
//
// The process that accepts a task generates its identifier before the task may
// run. The identifier contains the availability zone, host and incarnation of
// that process. Only that incarnation may start the task, so after a restart
// the process cannot start a task of its earlier incarnation a second time.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Zone names an availability zone.
type Zone string

// HostID names an entry host. It is set in the settings of the host.
type HostID string

// WorkerID names a worker. It is the name in the platform's worker list.
type WorkerID string

// TeamID names a team.
type TeamID string

// ServiceID names a declared service whose replicas answer requests.
type ServiceID string

// Incarnation distinguishes successive processes of one host. It is generated
// at process start and is never zero for a running process.
type Incarnation uint64

// Holder is one incarnation of one host. Leases are granted to a holder, and
// limit units are held by one.
type Holder struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
}

// IsZero reports whether h names no holder.
func (h Holder) IsZero() bool { return h == Holder{} }

// String returns the holder as "host~incarnation".
func (h Holder) String() string {
	return string(h.Host) + "~" + strconv.FormatUint(uint64(h.Incarnation), 36)
}

// TaskID identifies a task or a job. It is unique across all hosts and is never
// reused.
type TaskID struct {
	Zone        Zone        `json:"zone"`
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"`
}

// JobID identifies a durable job. AttemptID numbers the tasks of the job.
type JobID = TaskID

// taskIDParts is the number of dot-separated parts in the text form of a
// TaskID.
const taskIDParts = 4

// IsZero reports whether id names no task.
func (id TaskID) IsZero() bool { return id == TaskID{} }

// Holder returns the incarnation of the host that generated the identifier.
func (id TaskID) Holder() Holder { return Holder{Host: id.Host, Incarnation: id.Incarnation} }

// String returns the identifier as "zone.host.incarnation.seq", with the last
// two parts in base 36.
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

// MalformedIDError reports text that is not a valid task or attempt identifier.
type MalformedIDError struct {
	Text string
}

// Error implements error.
func (e *MalformedIDError) Error() string {
	return fmt.Sprintf("malformed identifier %q: want zone.host.incarnation.seq", e.Text)
}

// ParseTaskID parses the form that TaskID.String returns. It returns a
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

// AttemptID identifies one attempt to run one task of a job. Index numbers the
// tasks of the job from zero. Attempt numbers the attempts of that task from
// one.
type AttemptID struct {
	Job     JobID `json:"job"`
	Index   int   `json:"index"`
	Attempt int   `json:"attempt"`
}

// String returns the attempt as "job/index/attempt".
func (a AttemptID) String() string {
	return a.Job.String() + "/" + strconv.Itoa(a.Index) + "/" + strconv.Itoa(a.Attempt)
}

// attemptParts is the number of slash-separated parts in the text form of an
// AttemptID.
const attemptParts = 3

// ParseAttemptID parses the form that AttemptID.String returns. It returns a
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
