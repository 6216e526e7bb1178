//go:build review

// Command standin2 plays the cases of the second review: it starts entry hosts as processes, with
// stand-ins of the platform's log, of workers and of clients, and judges what these have seen.
//
//	standin2 CASE FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2

	prefix = "/p/"

	// finishTime is bounds.finish_s, and idleTime how long a job may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second

	// contactTime is bounds.contactMs and some more: hosts are in touch that have run for as long.
	contactTime = 4 * time.Second
	// timeLimit ends a case that takes too long.
	timeLimit = 118 * time.Second
)

// config is the operators' configuration: one queue without advice, one service, one tenant.
const config = `{"version":1,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/p/","kind":"unsafe","timeoutMs":3000,"service":"svc",
"priority":1,"maxAttempts":3,"stretch":4.0,"targetLatencyMs":3000,"public":false}],"services":[{"name":"svc","enforcesCapacity":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ws","weight":1000,"apiKeys":["k1"],"cap":{"cpu":0,"memMb":0,"gpu":0}}]}`

// deployment is what a case plays on.
type deployment struct {
	rec      *recorder
	store    *store
	machines []*machine
	hosts    []*host
	dir      string
	trouble  bool
	ending   sync.Once
}

var cases = map[string]func(*deployment) (int, string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	d := &deployment{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, with the disruption: %v", name, d.trouble)
	go d.endOnSignal()
	result, why := cases[name](d)
	d.end()
	rec.line("result %d: %s", result, why)
	fmt.Printf("%s: result %d: %s\n", name, result, why)
	return result
}

// end ends all processes and removes the temporary folder.
func (d *deployment) end() {
	d.ending.Do(func() {
		for _, h := range d.hosts {
			h.kill()
		}
		if d.store != nil {
			d.store.close()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.dir)
		}
	})
}

// endOnSignal ends the case if it is told to, or takes too long.
func (d *deployment) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(timeLimit):
	}
	d.rec.line("the case is ended before its end")
	d.end()
	os.Exit(couldNot)
}

// leader returns the host that has claimed the leadership last, as the log shows.
func (d *deployment) leader() *host {
	claim := d.store.newestRecord("claims/0")
	for _, h := range d.hosts {
		if bytes.Contains(claim, []byte(h.name)) {
			return h
		}
	}
	return nil
}

// begin starts the platform, machines and hosts, and waits until the hosts are ready.
func (d *deployment) begin(machines, hosts int) error {
	var err error
	if d.store, err = newStore(); err != nil {
		return err
	}
	d.store.put("keyed.op", "config", []byte(config))
	for i := range machines {
		m, err := newMachine(i, "b", d.store, d.rec)
		if err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	for i := range hosts {
		h, err := newHost(fmt.Sprintf("edge-z1-%d", i+1), d.dir, d.store.address())
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == hosts {
			time.Sleep(contactTime) // meanwhile a leader is chosen, and knows the workers
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d hosts are ready after 20 s", ready, hosts)
		}
	}
}

// placeOf returns the machine on which something of a job runs, and for how long it has.
func (d *deployment) placeOf(job string) (m *machine, ran time.Duration) {
	for _, m := range d.machines {
		if w := m.worker(); w != nil {
			if since, found := w.runs(job); found {
				return m, time.Since(since)
			}
		}
	}
	return nil, 0
}

// countOf returns on how many machines something of a job runs.
func (d *deployment) countOf(job string) int {
	n := 0
	for _, m := range d.machines {
		if w := m.worker(); w != nil {
			if _, found := w.runs(job); found {
				n++
			}
		}
	}
	return n
}

// waitUntil waits until something holds, and reports whether it did in time.
func waitUntil(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
