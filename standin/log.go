package standin

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Bounds of a log.
const (
	MaxGroup       = 4096    // records in one append
	MaxRecordBytes = 1 << 20 // of one record
	MaxPage        = 4096    // records in one answer to a read
)

// LogConfig bounds a log. Zero fields mean no bound.
type LogConfig struct {
	KeepRecords int           // of each stream
	KeepFor     time.Duration // age after which records expire
	AppendRate  float64       // appends a second over all streams
}

// LogFaults are the faults of a log that can be switched on and off.
type LogFaults struct {
	Down        bool          `json:"down"`           // cuts every connection without an answer
	Refuse      bool          `json:"refuse"`         // refuses every call as unavailable
	Slow        time.Duration `json:"slow,omitempty"` // each answer takes this much longer
	LoseAnswers int           `json:"lose_answers"`   // so many appends take effect and get no answer
}

// LostAnswerError reports an append that took effect and whose answer the
// caller must not see.
type LostAnswerError struct {
	Offset ports.Offset
}

// Error implements error.
func (e *LostAnswerError) Error() string { return "append took effect, its answer is lost" }

// DownError reports that a stand-in is down. The call took no effect.
type DownError struct {
	Op string
}

// Error implements error.
func (e *DownError) Error() string { return e.Op + ": down" }

// storedRecord is a record with the time of its append.
type storedRecord struct {
	at     time.Duration
	record ports.Record
}

// logStream is one stream. Records are in order of offset, without gaps.
type logStream struct {
	records []storedRecord
	last    ports.Offset
	grown   chan struct{} // closed at the next append
}

// LogState is the state machine of the append-only log. It reads no clock. Its
// methods may be called from any goroutine.
type LogState struct {
	mu      sync.Mutex
	cfg     LogConfig
	faults  LogFaults
	streams map[ports.Stream]*logStream
	tokens  float64       // appends that may be made at once
	filled  time.Duration // when tokens was last brought up to date
	counts  LogCounts
}

// LogCounts are the counters of a log.
type LogCounts struct {
	Appends int `json:"appends"`
	Records int `json:"records"`
	Reads   int `json:"reads"`
	Refused int `json:"refused"` // appends over the rate
	Lost    int `json:"lost"`    // answers lost after the effect
}

// NewLogState returns an empty log.
func NewLogState(cfg LogConfig) *LogState {
	return &LogState{cfg: cfg, streams: make(map[ports.Stream]*logStream), tokens: burst(cfg.AppendRate)}
}

// burst is how many appends may come at once under a rate.
func burst(rate float64) float64 {
	const share = 0.25 // of a second
	return max(1, rate*share)
}

// Append adds a group in order, all or none. Errors: *ports.RefusedError
// for a group out of bounds, *ports.UnavailableError over the rate or while
// refusing, *DownError while down; none of these took effect. A
// *LostAnswerError did.
func (l *LogState) Append(now time.Duration, stream ports.Stream, group [][]byte) (ports.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const op = "append"
	if err := l.up(op); err != nil {
		return 0, err
	}
	if !validGroup(stream, group) {
		return 0, refused(op, ports.RefusedMalformed)
	}
	if err := l.spend(op, now); err != nil {
		return 0, err
	}
	s := l.stream(stream)
	for _, data := range group {
		s.last++
		record := ports.Record{Offset: s.last, Data: slices.Clone(data)}
		s.records = append(s.records, storedRecord{at: now, record: record})
	}
	l.expire(now, s)
	close(s.grown)
	s.grown = make(chan struct{})
	l.counts.Appends++
	l.counts.Records += len(group)
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		l.counts.Lost++
		return 0, &LostAnswerError{Offset: s.last}
	}
	return s.last, nil
}

// validGroup reports whether an append is within bounds.
func validGroup(stream ports.Stream, group [][]byte) bool {
	if stream == "" || len(group) == 0 || len(group) > MaxGroup {
		return false
	}
	return !slices.ContainsFunc(group, func(data []byte) bool { return len(data) > MaxRecordBytes })
}

// up reports an error while a fault keeps the log from answering.
func (l *LogState) up(op string) error {
	if l.faults.Down {
		return &DownError{Op: op}
	}
	if l.faults.Refuse {
		return &ports.UnavailableError{Op: op, RetryAfter: time.Second}
	}
	return nil
}

// spend takes one append from the rate.
func (l *LogState) spend(op string, now time.Duration) error {
	rate := l.cfg.AppendRate
	if rate <= 0 {
		return nil
	}
	l.tokens = math.Min(burst(rate), l.tokens+rate*(now-l.filled).Seconds())
	l.filled = now
	if l.tokens < 1 {
		l.counts.Refused++
		missing := (1 - l.tokens) / rate
		return &ports.UnavailableError{Op: op, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	l.tokens--
	return nil
}

// stream returns a stream, creating it empty.
func (l *LogState) stream(name ports.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire drops the records beyond the bounds on count and age.
func (l *LogState) expire(now time.Duration, s *logStream) {
	drop := 0
	if l.cfg.KeepRecords > 0 {
		drop = max(0, len(s.records)-l.cfg.KeepRecords)
	}
	for l.cfg.KeepFor > 0 && drop < len(s.records) && s.records[drop].at+l.cfg.KeepFor < now {
		drop++
	}
	s.records = slices.Delete(s.records, 0, drop)
}

// Read returns at most limit records after an offset. grown is closed at the
// next append to the stream, so that a caller can wait for one. The errors are
// *ports.UnavailableError and *DownError.
func (l *LogState) Read(now time.Duration, stream ports.Stream, after ports.Offset, limit int) (page ports.Page, grown <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.up("read"); err != nil {
		return ports.Page{}, nil, err
	}
	s := l.stream(stream)
	l.expire(now, s)
	l.counts.Reads++
	first := s.last + 1 - ports.Offset(len(s.records))
	page = ports.Page{First: first, Last: s.last}
	skip := 0
	if after >= first {
		skip = min(int(after-first)+1, len(s.records))
	}
	limit = min(max(limit, 0), MaxPage)
	for _, stored := range s.records[skip:min(len(s.records), skip+limit)] {
		page.Records = append(page.Records, stored.record)
	}
	return page, s.grown, nil
}

// SetFaults replaces the faults of the log.
func (l *LogState) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the faults that are on.
func (l *LogState) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// LoseAnswers makes the next n appends take effect without an answer.
func (l *LogState) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.LoseAnswers = n
}

// Counts returns the counters.
func (l *LogState) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
