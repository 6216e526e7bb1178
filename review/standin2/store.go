//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's log, as PROTOCOL.md describes it. Nothing that it has
// acknowledged is lost, and nothing expires within the time of a case.
type store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each append
	parts   map[string]*part
}

// part is one partition of a topic.
type part struct {
	records   [][]byte
	producers map[string]*producer
}

type producer struct {
	epoch, next int64
	answers     map[int64]string // of the last five appends, by sequence number
}

const answersKept = 5

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, changed: make(chan struct{}), parts: make(map[string]*part)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with close
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }
func (s *store) close()          { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic") + "/" + q.Get("part")
	switch strings.TrimPrefix(r.URL.Path, "/fireflyfold/") {
	case "log-append":
		s.serveAppend(w, r, name)
	case "log-read":
		s.serveRead(w, r, name)
	case "log-newest":
		s.serveNewest(w, name, q.Get("dependsOn"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) partNamed(name string) *part {
	p, known := s.parts[name]
	if !known {
		p = &part{producers: make(map[string]*producer)}
		s.parts[name] = p
	}
	return p
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := unframe(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Millisecond) // appendMs
	s.mu.Lock()
	status, answer := s.append(name, r, records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // fails only if the caller has gone
}

func (s *store) append(name string, r *http.Request, records [][]byte) (int, string) {
	q := r.URL.Query()
	p := s.partNamed(name)
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" {
		if n, err := strconv.ParseInt(at, 10, 64); err != nil || n != end {
			return http.StatusPreconditionFailed, `{"end":` + strconv.FormatInt(end, 10) + `}`
		}
	}
	answer := `{"offset":` + strconv.FormatInt(end, 10) + `,"end":` + strconv.FormatInt(end+int64(len(records)), 10) + `}`
	if id := q.Get("producer"); id != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		if status, earlier := p.sequence(id, epoch, seq, answer); earlier != "" {
			return status, earlier
		}
	}
	s.add(p, records...)
	return http.StatusOK, answer
}

// sequence checks an append of a producer. It returns an answer if the append is not to be executed.
func (p *part) sequence(id string, epoch, seq int64, answer string) (int, string) {
	pr, known := p.producers[id]
	switch {
	case known && epoch < pr.epoch:
		return http.StatusConflict, `{"reason":"fenced"}`
	case !known || epoch > pr.epoch:
		pr = &producer{epoch: epoch, next: seq, answers: make(map[int64]string)}
		p.producers[id] = pr
	case pr.answers[seq] != "":
		return http.StatusOK, pr.answers[seq]
	case seq != pr.next:
		return http.StatusConflict, `{"reason":"seq","seq":` + strconv.FormatInt(pr.next, 10) + `}`
	}
	pr.answers[seq] = answer
	delete(pr.answers, seq-answersKept)
	pr.next = seq + 1
	return 0, ""
}

func (s *store) add(p *part, records ...[]byte) {
	p.records = append(p.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.partNamed(name).records, s.changed
		s.mu.Unlock()
		if from < len(records) || !waiting || waitMs == 0 {
			writeBatch(w, records, min(from, len(records)), maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeBatch(w http.ResponseWriter, records [][]byte, from, most int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, rec := range records[from:] {
		if i > 0 && len(out)+len(rec) > most {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out) // fails only if the caller has gone
}

func unframe(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, false
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	return records, true
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.partNamed(name).records
	s.mu.Unlock()
	newest := make(map[string]item)
	for i, rec := range records {
		key, value := string(rec[1:1+int(rec[0])]), rec[1+int(rec[0]):]
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		if len(value) == 0 {
			delete(newest, key)
		}
	}
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > 500
	items = items[:min(len(items), 500)]
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "end": len(records)})
}

// put writes the newest record of a key of a keyed topic, as operators and workers do. Without a value
// the key is dropped.
func (s *store) put(topic, key string, value []byte) {
	rec := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partNamed(topic+"/0"), rec)
}

// newestRecord returns the newest record of a partition, or nil.
func (s *store) newestRecord(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.partNamed(name).records
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}
