//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has got for a request. Status is 0 without an answer.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// state returns the state that an answer about a job shows.
func (a answer) state() string {
	var got struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &got) != nil {
		return ""
	}
	return got.State
}

var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

// call sends a request of a client to an entry host and writes down what became of it.
func (d *deployment) call(h *host, method, path, body string) answer {
	req, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "jobs.example"
	req.Header.Set("Credential", "k1")
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := callers.Do(req)
	a := answer{err: err}
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.err = string(text), readErr
		if readErr == nil {
			a.status = resp.StatusCode
		}
	}
	a.took = time.Since(began)
	d.rec.line("client: %s %s at %s: %d %s after %d ms%s", method, path, h.name, a.status, strings.TrimSpace(a.body), a.took.Milliseconds(), errText(a.err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// submit hands a job in until it is accepted, each time at another host.
func (d *deployment) submit(id, body string) bool {
	d.rec.line("client: job %s is %s", id, body)
	for try := 0; try < 20; try++ {
		h := d.hosts[try%len(d.hosts)]
		if h.hasEnded() {
			continue
		}
		if a := d.call(h, http.MethodPost, prefix+id, body); a.status >= 200 && a.status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a job at one host after the other until one answers with a state or 410.
func (d *deployment) ask(id string) answer {
	var a answer
	for try := 0; try < 6; try++ {
		h := d.hosts[try%len(d.hosts)]
		if h.hasEnded() {
			continue
		}
		if a = d.call(h, http.MethodGet, prefix+id, ""); a.status == http.StatusOK || a.status == http.StatusGone {
			return a
		}
		time.Sleep(300 * time.Millisecond)
	}
	return a
}
