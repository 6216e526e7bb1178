package region

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/record"
)

// Bounds of the memory that a job takes up in the scheduler, in bytes. Runs are not part of it: there
// are no more of them than workers have room for.
const (
	jobBytes  = 1024
	stepBytes = 768
	taskBytes = 192
	// decodedFactor is how many times its encoded size the texts and lists of a record can take up.
	decodedFactor = 4
)

// jobMemory is a bound of the memory that a job takes up, in bytes.
type jobMemory struct {
	record     int64
	occurrence int64 // of each occurrence
	counted    int64 // the part of Scheduler.jobMemory that is this job's
}

func newJobMemory(rec *record.Job) jobMemory {
	m := jobMemory{record: jobBytes + decodedFactor*int64(proto.Size(rec))}
	for _, st := range rec.Steps {
		m.occurrence += stepBytes + taskBytes*int64(st.Count)
	}
	return m
}

// JobMemory returns a bound of the memory in bytes that a scheduler takes up for a job, with all of its
// occurrences.
func JobMemory(rec *record.Job) int64 {
	m := newJobMemory(rec)
	return m.record + m.occurrence*int64(max(rec.RepeatCount, 1))
}

// JobMemory returns a bound of the memory in bytes that all jobs take up, with the occurrences that are
// still to come.
func (s *Scheduler) JobMemory() int64 { return s.jobMemory }

// countMemory updates the memory that is counted for a job.
func (s *Scheduler) countMemory(j *job) {
	occurrences := int64(len(j.occs))
	if !j.ended() {
		occurrences += int64(max(j.rec.RepeatCount, 1) - j.nextOcc)
	}
	bytes := j.memory.record + j.memory.occurrence*occurrences
	s.jobMemory += bytes - j.memory.counted
	j.memory.counted = bytes
}
