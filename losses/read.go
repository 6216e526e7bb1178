// Package losses finds the jobs that completed late in the logs of a region's hosts, and what
// took most of their time. It is meant for on-call engineers after an incident.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// line is the part of a host's log line that is read; docs/OPERATIONS.md lists the fields.
type line struct {
	Time      time.Time `json:"time"`
	Zone      string    `json:"zone"`
	Msg       string    `json:"msg"`
	Job       string    `json:"job"`
	Queue     string    `json:"queue"`
	Workspace string    `json:"workspace"`
	Why       string    `json:"why"`
	HeldBy    string    `json:"held_by"`

	AcceptMs    int64 `json:"ms"`
	WaitedMs    int64 `json:"waited_ms"`
	AdvisedMs   int64 `json:"advised_ms_after"`
	AfterMs     int64 `json:"after_ms"`
	ObjectiveMs int64 `json:"objective_ms"`
}

// Log messages that mark the phases of a job.
const (
	msgAccepted   = "accepted"
	msgRefused    = "refused"
	msgAssigned   = "assigned"
	msgRunLost    = "run lost"
	msgRunStopped = "run stopped"
	msgRunFailed  = "run failed"
	msgCompleted  = "completed"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read reads the log lines of all hosts, in any order. It skips text before the first brace of
// a line, such as prefixes of log collectors, and counts lines without a JSON object in Unread.
// A line longer than maxLine is an error.
func Read(r io.Reader) (*Report, error) {
	rep := &Report{jobs: make(map[string]*job)}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		var l line
		if at < 0 || json.Unmarshal(text[at:], &l) != nil {
			rep.Unread++
			continue
		}
		rep.add(&l)
	}
	return rep, scanner.Err()
}
