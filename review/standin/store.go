//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store in its form as a log. Every call takes
// answer. Records of plain topics expire after keep; of keyed topics the newest record of
// each key is kept.
type store struct {
	keep        time.Duration
	recordBytes int

	answer atomic.Int64 // how long a call takes to be answered, in nanoseconds

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced by each append
	parts     map[string]*partition
	producers map[string]*producer
}

type partition struct {
	first   int64 // offset of records[0]
	records []storedRecord
	newest  map[string]keyedRecord // keyed topics only
}

type storedRecord struct {
	at   time.Time
	data []byte
}

type keyedRecord struct {
	offset int64
	value  []byte
}

type producer struct {
	epoch, lastSeq int64
	answers        map[int64]string // responses to the last appends, by sequence number
}

const (
	answerTime     = 4 * time.Millisecond
	repeatsKept    = 5
	maxReadWait    = 30 * time.Second
	defaultReadKB  = 1024
	newestPageSize = 500
)

func newStore(keep time.Duration) *store {
	s := &store{
		keep: keep, recordBytes: 262144, changed: make(chan struct{}),
		parts: make(map[string]*partition), producers: make(map[string]*producer),
	}
	s.answer.Store(int64(answerTime))
	return s
}

func (s *store) part(name string) *partition {
	p, known := s.parts[name]
	if !known {
		p = &partition{newest: make(map[string]keyedRecord)}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// expire drops the records that are older than keep. The caller holds the lock.
func (s *store) expire(p *partition) {
	n := 0
	for n < len(p.records) && time.Since(p.records[n].at) > s.keep {
		n++
	}
	p.records, p.first = p.records[n:], p.first+int64(n)
}

// add appends records. The caller holds the lock.
func (s *store) add(name string, records [][]byte) {
	p := s.part(name)
	for _, data := range records {
		if strings.HasPrefix(name, "keyed.") && len(data) > int(data[0]) {
			key, value := string(data[1:1+data[0]]), data[1+data[0]:]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = keyedRecord{offset: p.end(), value: value}
			}
		}
		p.records = append(p.records, storedRecord{at: time.Now(), data: data})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of a keyed topic, as operators and workers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic+"/0", [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// claims returns the number of records ever written to the topic of leadership claims.
func (s *store) claims() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part("claims/0").end()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.answer.Load()))
	switch r.URL.Path {
	case "/fireflyfold/log-append":
		s.serveAppend(w, r)
	case "/fireflyfold/log-read":
		s.serveRead(w, r)
	case "/fireflyfold/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func partName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > s.recordBytes || n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	s.mu.Lock()
	status, answer := s.append(r, records)
	s.mu.Unlock()
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// append carries out an append. The caller holds the lock.
func (s *store) append(r *http.Request, records [][]byte) (int, string) {
	name := partName(r)
	p := s.part(name)
	end := p.end()
	if at := r.URL.Query().Get("at"); at != "" && number(r, "at") != end {
		return http.StatusPreconditionFailed, `{"end":` + strconv.FormatInt(end, 10) + `}`
	}
	answer := `{"offset":` + strconv.FormatInt(end, 10) + `,"end":` + strconv.FormatInt(end+int64(len(records)), 10) + `}`
	if id := r.URL.Query().Get("producer"); id != "" {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		pr, known := s.producers[name+"/"+id]
		switch {
		case known && epoch < pr.epoch:
			return http.StatusConflict, `{"reason":"fenced"}`
		case !known || epoch > pr.epoch:
			pr = &producer{epoch: epoch, answers: make(map[int64]string)}
			s.producers[name+"/"+id] = pr
		case len(records) == 0:
			return http.StatusOK, answer
		case pr.answers[seq] != "":
			return http.StatusOK, pr.answers[seq]
		case seq != pr.lastSeq+1:
			return http.StatusConflict, `{"reason":"seq","seq":` + strconv.FormatInt(pr.lastSeq+1, 10) + `}`
		}
		if len(records) > 0 || seq > 0 { // an empty append sets the epoch only
			pr.lastSeq = seq
			pr.answers[seq] = answer
			delete(pr.answers, seq-repeatsKept)
		}
	}
	if len(records) > 0 {
		s.add(name, records)
	}
	return http.StatusOK, answer
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	name, from := partName(r), number(r, "from")
	left := defaultReadKB << 10
	if kb := number(r, "maxKb"); kb > 0 {
		left = int(kb) << 10
	}
	deadline := time.After(min(time.Duration(number(r, "waitMs"))*time.Millisecond, maxReadWait))
	for waits := true; ; {
		s.mu.Lock()
		p, changed := s.part(name), s.changed
		s.expire(p)
		end, first := p.end(), p.first
		if from < first {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		}
		if from < end || !waits {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i := from; i < end && (left > 0 || i == from); i++ {
				data := p.records[i-first].data
				out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
				out = append(out, data...)
				left -= len(data) + 4
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	p := s.part(partName(r))
	items := []newestItem{}
	for key, rec := range p.newest {
		if key > after {
			items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(rec.value), Offset: rec.offset})
		}
	}
	end := p.end()
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > newestPageSize
	if truncated {
		items = items[:newestPageSize]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "end": end})
}
