package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/load"
	"github.com/fireflyfold/fireflyfold/ports"
)

// BenchmarkProcess runs one entry host as a process, the scheduler of a zone of
// 12 workers, and looks at its processor time, memory and bytes read and
// written over some seconds. Runs differ in one thing at a time: the lease time
// gives the cost of a renewal, the rate that of a request or of a job.
func BenchmarkProcess(b *testing.B) {
	if testing.Short() {
		b.Skip("runs processes")
	}
	for _, run := range []struct {
		ttl  time.Duration
		mix  string
		rate float64
	}{
		{ttl: 12 * time.Second}, {ttl: 3 * time.Second}, {ttl: 600 * time.Millisecond},
		{ttl: 3 * time.Second, mix: "rosenau-requests", rate: 100},
		{ttl: 3 * time.Second, mix: "rosenau-requests", rate: 400},
		{ttl: 3 * time.Second, mix: batchMix, rate: 5},
		{ttl: 3 * time.Second, mix: batchMix, rate: 20},
	} {
		b.Run(fmt.Sprintf("ttl=%v/mix=%s/rate=%v", run.ttl, run.mix, run.rate), func(b *testing.B) {
			f := startHost(b, run.ttl)
			for b.Loop() {
				before := f.usage(b)
				f.load(b, run.mix, run.rate)
				f.usage(b).sub(before).report(b)
			}
		})
	}
}

// batchMix sends jobs of two tasks and nothing else.
const batchMix = "batch"

// measured is how long a process is looked at.
const measured = 5 * time.Second

// hostProcess is an entry host and the platform that it works with.
type hostProcess struct {
	pid  int
	api  string
	key  string
	seed uint64
}

const hostSettings = `
[host]
name = oberbayern-1-h1
zone = oberbayern-1
api  = %s
peer = %s
[platform]
log   = %[3]s
hosts = %[3]s
[zones]
configured = oberbayern-1, oberbayern-2, oberbayern-3, oberbayern-4
[peers]
secret = a-secret-of-the-measurement
[lease]
ttl      = %[4]v
task-ttl = %[5]v
[operators]
tour = %[6]x
`

// startHost builds and starts the programs and waits until the host serves.
func startHost(b *testing.B, ttl time.Duration) *hostProcess {
	b.Helper()
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/fireflyfold", "../cmd/fireflyfold-platform")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("go build: %v\n%s", err, out)
	}
	const zones = 4
	ports := portsInSequence(b, 3+zones)
	f := &hostProcess{api: ports[1+zones]}
	peer := ports[2+zones]
	launch(b, filepath.Join(dir, "fireflyfold-platform"), "--listen", ports[0], "--host", "oberbayern-1/oberbayern-1-h1="+peer)
	until(b, "the platform answers", func() bool { return answers(ports[0]) })
	f.configure(b, ports[1])
	settings := filepath.Join(dir, "host.ini")
	const taskTTLs = 4
	text := fmt.Sprintf(hostSettings, f.api, peer, ports[1], ttl, taskTTLs*ttl, sha256.Sum256([]byte("token")))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	f.pid = launch(b, filepath.Join(dir, "fireflyfold"), "serve", "--settings", settings)
	until(b, "the host serves and schedules", func() bool { return answers(f.api) })
	f.load(b, "rosenau-requests", 20) // leases, units and connections are there afterwards
	f.load(b, batchMix, 1)
	return f
}

// configure writes a team with a key into the configuration.
func (f *hostProcess) configure(b *testing.B, log string) {
	b.Helper()
	key, id, hash, err := fleet.NewKey(rand.New(rand.NewSource(1)))
	if err != nil {
		b.Fatal(err)
	}
	f.key = key
	team, limit := ident.TeamID("citizens"), int64(10_000)
	now := time.Now().UTC()
	plan, err := fleet.MakePlan(fleet.Empty(), fleet.Intent{
		Teams: []fleet.WantTeam{{Team: team, Limit: &limit}},
		Keys:  []fleet.WantKey{{Action: fleet.KeyGive, Team: team, Key: id, Hash: hash}},
	}, "asha", now, fleet.NoImpact{})
	if err != nil {
		b.Fatal(err)
	}
	data, err := fleet.EncodeChange(plan.Change("asha", now))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	if _, err := ports.NewHTTPLog(log, ports.NewHTTPClient()).Append(ctx, engine.ConfigStream, [][]byte{data}); err != nil {
		b.Fatal(err)
	}
}

// load sends work, or nothing, for as long as is measured.
func (f *hostProcess) load(b *testing.B, mix string, rate float64) {
	b.Helper()
	if rate == 0 {
		time.Sleep(measured)
		return
	}
	f.seed++
	opts := load.Options{
		Hosts: []string{f.api}, Keys: []string{f.key}, Rate: rate, Time: measured, Deadline: 5 * time.Second,
		JobDeadline: 20 * time.Second, Body: 512, InFlight: 8192, Connections: 1024, Seed: f.seed,
	}
	name := mix
	if mix == batchMix {
		name = "rosenau"
	}
	var err error
	if opts.Mix, err = load.MixByName(name); err != nil {
		b.Fatal(err)
	}
	if mix == batchMix {
		opts.Mix.Weights = map[load.Kind]int{load.KindBatch: 1}
	}
	report, err := load.Run(b.Context(), opts)
	if err != nil {
		b.Fatal(err)
	}
	if report.Broken() > 0 {
		b.Fatalf("%d answers that must never come", report.Broken())
	}
}

// usage is what a process used since its start.
type usage struct {
	at          time.Time
	cpu         time.Duration
	read, write int64 // bytes by system calls, nearly all on sockets
	rss         int64 // bytes, now
}

// usage reads the counters of the process from /proc.
func (f *hostProcess) usage(b *testing.B) usage {
	b.Helper()
	u := usage{at: time.Now()}
	proc := fmt.Sprintf("/proc/%d/", f.pid)
	threads, err := filepath.Glob(proc + "task/*/schedstat")
	if err != nil || len(threads) == 0 {
		b.Skip("no /proc/PID/task/TID/schedstat")
	}
	for _, thread := range threads {
		u.cpu += time.Duration(field(b, thread, "")) // nanoseconds on a processor come first
	}
	u.read = field(b, proc+"io", "rchar:")
	u.write = field(b, proc+"io", "wchar:")
	u.rss = field(b, proc+"status", "VmRSS:") << 10
	return u
}

func (u usage) sub(o usage) usage {
	return usage{at: time.Time{}.Add(u.at.Sub(o.at)), cpu: u.cpu - o.cpu, read: u.read - o.read, write: u.write - o.write, rss: u.rss}
}

func (u usage) report(b *testing.B) {
	seconds := u.at.Sub(time.Time{}).Seconds()
	b.ReportMetric(float64(u.cpu.Microseconds())/1000/seconds, "cpu-ms/s")
	b.ReportMetric(float64(u.read)/seconds, "read-B/s")
	b.ReportMetric(float64(u.write)/seconds, "written-B/s")
	b.ReportMetric(float64(u.rss)/(1<<20), "rss-MiB")
}

// field reads a number from a file of lines that begin with names.
func field(b *testing.B, path, name string) int64 {
	b.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		b.Skip(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return number(strings.Fields(rest)[0])
		}
	}
	b.Skip(path, " has no ", name)
	return 0
}

// number reads a decimal number of /proc.
func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// launch starts a program that ends with the benchmark, and returns its id.
func launch(b *testing.B, args ...string) int {
	b.Helper()
	cmd := exec.Command(args[0], args[1:]...)
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill() // it has nothing to hand over
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// until polls a condition.
func until(b *testing.B, what string, holds func() bool) {
	b.Helper()
	const limit, pause = 30 * time.Second, 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if holds() {
			return
		}
	}
	b.Fatal("waited in vain until ", what)
}

func answers(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// portsInSequence returns addresses whose ports were free a moment ago, below
// the range from which the kernel takes ports by itself.
func portsInSequence(b *testing.B, n int) []string {
	b.Helper()
	const first, last, draws = 12_000, 30_000, 100
	for range draws {
		from := first + rand.Intn(last-first)
		var addrs []string
		for port := from; port < from+n; port++ {
			addr := fmt.Sprintf("127.0.0.1:%d", port)
			l, err := net.Listen("tcp", addr)
			if err != nil {
				break
			}
			_ = l.Close()
			addrs = append(addrs, addr)
		}
		if len(addrs) == n {
			return addrs
		}
	}
	b.Fatal("no free ports in sequence")
	return nil
}
