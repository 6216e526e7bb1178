package exhaustion

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var enabled = flag.Bool("exhaustion", false, "run the tests of this package; they need a machine without other load")

// waitLimit bounds the wait for a condition. Only a failed run reaches it.
const waitLimit = 60 * time.Second

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// buildPrograms builds the programs and returns their folder. It skips the test unless the flag
// -exhaustion is set.
func buildPrograms(t *testing.T) string {
	t.Helper()
	if !*enabled {
		t.Skip("needs -exhaustion")
	}
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return dir
}

// limits bounds a process.
type limits struct {
	memoryBytes int64 // resident memory and received bytes that were not read, together
	descriptors int
}

// process is a child process whose use of memory and descriptors is sampled.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	ports map[int]bool // that it listens on

	mu              sync.Mutex
	peakMemory      int64 // resident and unread
	peakUnread      int64
	peakDescriptors int
}

// start starts a program that listens on the given addresses. It is killed at the end of the test.
func start(t *testing.T, addresses []string, program string, args ...string) *process {
	t.Helper()
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{}), ports: map[int]bool{}}
	for _, a := range addresses {
		p.ports[portOf(t, a)] = true
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the process is killed by this test, or hasEnded reports its end
		close(p.ended)
	}()
	var sampler sync.WaitGroup
	sampler.Go(p.sampleUntilEnd)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
		sampler.Wait()
		_ = logFile.Close()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", filepath.Base(program), tail(logFile.Name()))
		}
	})
	return p
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func tail(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-3000):]
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

const sampleInterval = 25 * time.Millisecond

func (p *process) sampleUntilEnd() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
			p.sample()
		}
	}
}

// sample reads the present use of memory and descriptors. A reading fails when the process ends.
func (p *process) sample() {
	unread := unreadBytes(p.ports)
	resident := residentBytes(p.cmd.Process.Pid)
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMemory = max(p.peakMemory, resident+unread)
	p.peakUnread = max(p.peakUnread, unread)
	p.peakDescriptors = max(p.peakDescriptors, len(descriptors))
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(status)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// Fields of a line of /proc/net/tcp, and the state of a listening socket.
const (
	fieldLocal  = 1
	fieldState  = 3
	fieldQueues = 4
	minFields   = 5
	stateListen = "0A"
)

// unreadBytes returns how many bytes were received on the connections of the given ports and have
// not been read, those of connections that were not accepted included.
func unreadBytes(ports map[int]bool) int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < minFields || fields[fieldState] == stateListen || !ports[hexPort(fields[fieldLocal])] {
			continue
		}
		_, received, _ := strings.Cut(fields[fieldQueues], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}

func hexPort(address string) int {
	_, text, _ := strings.Cut(address, ":")
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != 2 {
		return 0
	}
	return int(b[0])<<8 | int(b[1])
}

// check fails the test if the process has ended or has exceeded its limits at any time.
func (p *process) check(t *testing.T, l limits) {
	t.Helper()
	if p.hasEnded() {
		t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	}
	p.sample()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("peak: %d MiB of memory, %d MiB of them unread, %d descriptors", p.peakMemory>>20, p.peakUnread>>20, p.peakDescriptors)
	if p.peakMemory > l.memoryBytes {
		t.Errorf("%d MiB of memory, its machine has %d", p.peakMemory>>20, l.memoryBytes>>20)
	}
	if p.peakDescriptors > l.descriptors {
		t.Errorf("%d descriptors, at most %d are allowed", p.peakDescriptors, l.descriptors)
	}
}
