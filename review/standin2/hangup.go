//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangUp }

const (
	lossWindow  = 200 * time.Millisecond // bounds.lossWindowMs
	stopAfter   = 150 * time.Millisecond // from the requests to SIGTERM
	hangUpAfter = 250 * time.Millisecond // from SIGTERM to SIGHUP
	cancelCalls = 10
	grace       = 6 * time.Second // bounds.graceS
)

// hangUp: a host is stopped as planned, and its settings change while it answers what it has taken.
func hangUp(d *deployment) (int, string) {
	if err := d.begin(crashMachines, 3); err != nil {
		return couldNot, err.Error()
	}
	h := d.hosts[0]
	if h == d.leader() {
		h = d.hosts[1]
	}
	d.rec.line("%s leads; %s is stopped", d.leader().name, h.name)
	answers := make([]answer, cancelCalls)
	var calls sync.WaitGroup
	for i := range answers {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answers[i] = d.call(h, http.MethodDelete, fmt.Sprintf("%s%016x", prefix, 0xc0+i), "")
		}()
	}
	time.Sleep(stopAfter)
	d.rec.line("%s gets SIGTERM", h.name)
	h.signal(syscall.SIGTERM)
	time.Sleep(hangUpAfter)
	if d.trouble {
		if err := h.addSetting("review.note=1\n"); err != nil {
			return couldNot, err.Error()
		}
		d.rec.line("%s: its settings file has a further field; it gets SIGHUP", h.name)
		h.signal(syscall.SIGHUP)
	}
	calls.Wait()
	if !waitUntil(grace, h.hasEnded) {
		d.rec.line("%s gets SIGKILL", h.name)
	}
	lost := 0
	for _, a := range answers {
		if a.status == 0 && a.took > lossWindow {
			lost++
		}
	}
	if lost > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d requests that the host had read got no answer; their connections ended", lost, cancelCalls)
	}
	return held, "each request got an answer"
}

// addSetting adds a line to the settings file.
func (h *host) addSetting(line string) error {
	f, err := os.OpenFile(h.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteString(line)
	return err
}
