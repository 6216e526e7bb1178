package load

import (
	"fmt"
	"net/netip"
	"time"
)

// Bounds of a run.
const (
	MaxRate     = 100_000          // operations a second
	MaxTime     = 10 * time.Minute // of arrivals
	MaxBody     = 1 << 20          // bytes of a request's body
	MaxInFlight = 65_536           // operations at once
	minBody     = 64               // room for what makes a body unique
)

// Options describe a run.
type Options struct {
	Hosts       []string      // API addresses (IP and port) of entry hosts, used in turn
	Keys        []string      // team keys, used in turn
	Mix         Mix           // what to send
	Rate        float64       // operations a second
	Time        time.Duration // of arrivals
	Deadline    time.Duration // of each request
	JobDeadline time.Duration // within which a job must have ended
	Body        int           // bytes of a request's body
	InFlight    int           // operations at once; arrivals beyond are not sent
	Connections int           // to each host
	Seed        uint64
	Audit       string // address of the stand-in platform whose audit is reported; may be empty
}

// OptionError reports an option that is out of range.
type OptionError struct {
	Name    string
	Value   string
	Allowed string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("--%s %s: want %s", e.Name, e.Value, e.Allowed)
}

// Check returns an *OptionError for the first option that is out of range.
func (o Options) Check() error {
	checks := []struct {
		ok      bool
		name    string
		value   any
		allowed string
	}{
		{len(o.Hosts) > 0, "hosts", o.Hosts, "at least one IP:port"},
		{len(o.Keys) > 0, "keys", len(o.Keys), "at least one team key"},
		{o.Rate > 0 && o.Rate <= MaxRate, "rate", o.Rate, "above 0, at most 100000 a second"},
		{o.Time > 0 && o.Time <= MaxTime, "time", o.Time, "above 0s, at most 10m"},
		{o.Deadline > 0 && o.Deadline <= MaxTime, "deadline", o.Deadline, "above 0s, at most 10m"},
		{o.JobDeadline > 0 && o.JobDeadline <= MaxTime, "job-deadline", o.JobDeadline, "above 0s, at most 10m"},
		{o.Body >= minBody && o.Body <= MaxBody, "body", o.Body, "64 to 1048576 bytes"},
		{o.InFlight > 0 && o.InFlight <= MaxInFlight, "in-flight", o.InFlight, "1 to 65536"},
		{o.Connections > 0 && o.Connections <= MaxInFlight, "connections", o.Connections, "1 to 65536"},
		{o.Mix.total() > 0, "mix", o.Mix.Name, MixNames},
	}
	for _, c := range checks {
		if !c.ok {
			return &OptionError{Name: c.name, Value: fmt.Sprint(c.value), Allowed: c.allowed}
		}
	}
	for _, host := range o.Hosts {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return &OptionError{Name: "hosts", Value: host, Allowed: "IP:port"}
		}
	}
	return nil
}
