//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// host is one entry host: a process of the program, started as the deploy file says.
type host struct {
	name, settings             string
	front, ready, control, log string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// settingsText is a settings file like that of a small deployment (DEPLOY.md).
const settingsText = `node=%[1]s
role=host
machineClass=edge
serves=edge,control_plane
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listen.front=%[2]s
listen.ready=%[3]s
listen.control=%[4]s
seeds=%[4]s
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,quota,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossWindowMs=200
bounds.configApplyMs=2000
bounds.strictRevocation=true
bounds.revokeMs=5000
bounds.holdMaxMs=10000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.restoreMs=600
bounds.leaseMs=3000
orders=request
advice=
platform.address=%[5]s
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=24
platform.appendMs=1.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
`

// program is the program that the deploy file runs, in the root of the repository.
const program = "target/fireflyfold"

func newHost(name, dir, storeAddress string) (*host, error) {
	h := &host{name: name, settings: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log")}
	for _, a := range []*string{&h.front, &h.ready, &h.control} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf(settingsText, name, h.front, h.ready, h.control, storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return h, h.start()
}

func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "host")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYFOLD_SETTINGS=" + h.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOwnThread(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // most are ended by a signal
		_ = out.Close()
		close(ended)
	}()
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	return nil
}

// starts takes what startOnOwnThread starts.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread() // the thread never ends
		for start := range starts {
			start()
		}
	}()
}

// startOnOwnThread starts a process from a thread that lives as long as this process: Pdeathsig ends the
// child with the thread that has started it.
func startOnOwnThread(cmd *exec.Cmd) error {
	result := make(chan error)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

// signal sends a signal to the process, unless it has ended.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(sig) // it may end at this moment
	}
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// isReady asks as the platform's balancer does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + h.ready + "/fireflyfold/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
