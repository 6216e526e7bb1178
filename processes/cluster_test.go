package processes_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/testport"
)

const (
	token  = "operator-token-of-the-test"
	layout = "rosenau"
	region = "oberbayern"
	zones  = 4
	// teamLimit is the upper limit of each team in units.
	teamLimit = 60
)

// teams of the cluster; each gets a key.
var teams = []string{"citizens", "crafts"}

// host is an entry host: its name stays, its processes come and go.
type host struct {
	id, zone  string
	api, peer string // addresses
	settings  string // file
	lives     int
	proc      *process // the current life; nil before the first
}

// url returns the URL of a path of the callers' interface.
func (h *host) url(path string) string { return "http://" + h.api + path }

// cluster is the platform's stand-in and its entry hosts.
type cluster struct {
	dir   string
	bin   string // directory of the programs
	admin string // URL of the stand-in's faults and audit
	hosts []*host
	keys  map[string]string // by team

	asides       int // requests answered outside of a load
	unsureAsides int // requests outside of a load that may have run
}

// start builds the programs, starts the stand-in and all hosts but those
// named in late, and gives every team a limit and a key.
func start(t *testing.T, late ...string) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes")
	}
	dir := t.TempDir()
	c := &cluster{dir: dir, bin: filepath.Join(dir, "bin"), keys: map[string]string{}}
	c.build(t)
	c.layOut(t)
	for _, h := range c.hosts {
		if !contains(late, h.id) {
			c.startHost(t, h)
		}
	}
	c.configure(t)
	for _, h := range c.hosts {
		if h.proc != nil {
			c.untilServes(t, h)
		}
	}
	return c
}

func contains(list []string, item string) bool {
	for _, each := range list {
		if each == item {
			return true
		}
	}
	return false
}

// build compiles the programs; the build cache makes the second time quick.
func (c *cluster) build(t *testing.T) {
	t.Helper()
	build := exec.Command("go", "build", "-o", c.bin+string(filepath.Separator), "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
}

// layOut draws ports, starts the stand-in and writes a settings file for each
// host: two in the first zone and one in each other.
func (c *cluster) layOut(t *testing.T) {
	t.Helper()
	names := []string{"1-h1", "1-h2", "2-h1", "3-h1", "4-h1"}
	ports := testport.ReserveSequence(t, 1+zones+2*len(names))
	c.admin = "http://" + ports[0]
	args := []string{filepath.Join(c.bin, "fireflyfold-platform"), "--layout", layout, "--listen", ports[0], "--host-lag", "500ms"}
	var seeds []string
	for i, name := range names {
		h := &host{id: region + "-" + name, zone: region + "-" + name[:1], api: ports[1+zones+2*i], peer: ports[2+zones+2*i]}
		c.hosts = append(c.hosts, h)
		seeds = append(seeds, h.peer)
		args = append(args, "--host", h.zone+"/"+h.id+"="+h.peer)
	}
	for _, h := range c.hosts {
		zone := int(h.zone[len(h.zone)-1] - '0')
		c.writeSettings(t, h, ports[zone], strings.Join(seeds, ", "))
	}
	launch(t, c.dir, "platform", args...)
	until(t, "the platform answers", func() bool {
		conn, err := net.Dial("tcp", ports[0])
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

const settingsFile = `
[host]
name = %s
zone = %s
api  = %s
peer = %s
[platform]
log   = %[5]s
hosts = %[5]s
[zones]
configured = oberbayern-1, oberbayern-2, oberbayern-3, oberbayern-4
[peers]
secret = a-secret-of-the-test-alone
seeds  = %[6]s
[lease]
ttl      = 2s
task-ttl = 8s
[limits]
drain-timeout = 30s
[config]
poll = 200ms
[operators]
tour = %[7]x
`

func (c *cluster) writeSettings(t *testing.T, h *host, platform, seeds string) {
	t.Helper()
	h.settings = filepath.Join(c.dir, h.id+".ini")
	text := fmt.Sprintf(settingsFile, h.id, h.zone, h.api, h.peer, platform, seeds, sha256.Sum256([]byte(token)))
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startHost starts a life of a host.
func (c *cluster) startHost(t *testing.T, h *host) {
	t.Helper()
	h.lives++
	h.proc = launch(t, c.dir, fmt.Sprintf("%s-life%d", h.id, h.lives), filepath.Join(c.bin, "fireflyfold"), "serve", "--settings", h.settings)
}

// untilServes waits until a host answers a request of every team.
func (c *cluster) untilServes(t *testing.T, h *host) {
	t.Helper()
	for _, team := range teams {
		until(t, h.id+" answers team "+team, func() bool {
			a := ask(h, c.keys[team], []byte("first"))
			switch a.kind {
			case answered:
				c.asides++
			case unsure, broken:
				c.unsureAsides++
			case wrong:
				t.Fatalf("%s: %s", h.id, a.detail)
			}
			return a.kind == answered
		})
	}
}

// Bounds of waiting. Nothing is asserted about shorter times.
const (
	waitLimit = 45 * time.Second
	waitPause = 50 * time.Millisecond
)

// until polls a condition, and fails the test if it does not come about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	if !comes(holds) {
		t.Fatalf("waited in vain until %s", what)
	}
}

// comes polls a condition and reports whether it came about.
func comes(holds func() bool) bool {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(waitPause) {
		if holds() {
			return true
		}
	}
	return false
}

// cli runs an operator's command and returns its output and exit code.
func (c *cluster) cli(t *testing.T, args ...string) ([]byte, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(c.bin, "fireflyfold"), args...)
	var hosts []string
	for _, h := range c.hosts {
		hosts = append(hosts, h.api)
	}
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "FIREFLYFOLD_HOST="+strings.Join(hosts, ","), "FIREFLYFOLD_KEY="+token)
	var out, problems bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &problems
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatalf("fireflyfold %v: %v", args, err)
	}
	if err != nil {
		t.Logf("fireflyfold %v: %v: %s", args, err, problems.Bytes())
	}
	return out.Bytes(), cmd.ProcessState.ExitCode()
}
