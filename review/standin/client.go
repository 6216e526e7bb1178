//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since its begin.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now()}, nil
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }

const (
	keyA     = "key-of-team-a-0000001"
	keyB     = "key-of-team-b-0000001"
	deadline = 3 * time.Second
)

// caller is a client of the system with keep-alive connections.
type caller struct {
	fleet *fleet
	key   string
	http  *http.Client
	next  int
}

func (f *fleet) newCaller(key string) *caller {
	return &caller{fleet: f, key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// call sends one request to a host and returns its status, or 0 if there was no response.
func (c *caller) call(h *host, method, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("Credential", c.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// callAny sends a request to one ready host after the other until one answers with something
// else than 429, 502, 503 or 504, or the limit has passed. It returns the last status.
func (c *caller) callAny(method, path string, body []byte, limit time.Duration) (status int, answer []byte, by *host) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		c.next++
		by = c.fleet.hosts[c.next%len(c.fleet.hosts)]
		if by.isReady() {
			status, answer = c.call(by, method, path, body)
			switch status {
			case 0, 429, 502, 503, 504:
			default:
				return status, answer, by
			}
		}
		if time.Now().After(end) {
			return status, answer, by
		}
	}
}

type wireStep struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	MemMB        int   `json:"memMb"`
	EstimateMs   int   `json:"estimateMs,omitempty"`
	DependsOn    []int `json:"dependsOn,omitempty"`
	LongRunning  bool  `json:"longRunning,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
}

type wireJob struct {
	Spec  string     `json:"spec"`
	Steps []wireStep `json:"steps"`
}

func encodeJob(spec string, steps ...wireStep) []byte {
	body, err := json.Marshal(wireJob{Spec: spec, Steps: steps})
	if err != nil {
		panic(err) // plain values always encode
	}
	return body
}

func stateOf(answer []byte) string {
	var got struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &got)
	return got.State
}
