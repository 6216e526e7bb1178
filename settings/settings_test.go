package settings

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const example = "../deploy/rosenau.ini"

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../deploy/*.ini")
	if err != nil || len(files) != 2 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	tour, err := filepath.Glob("../deploy/tour/*.ini")
	if err != nil || len(tour) != 4 {
		t.Fatalf("tour: %v, %v", tour, err)
	}
	for _, file := range append(files, tour...) {
		s, err := Load(file)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		if s.Host.Zone == "" || len(s.Zones) != 4 || len(s.Operators) != 1 {
			t.Errorf("%s: zone %q, %d zones, %d operators", file, s.Host.Zone, len(s.Zones), len(s.Operators))
		}
	}
}

// Every documented key stands in the example, so that an operator finds it.
func TestExampleShowsEveryKey(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range fields {
		line := regexp.MustCompile(`(?m)^(; )?` + f.key + ` *= `)
		if !line.Match(text) {
			t.Errorf("[%s] %s is missing from %s", f.section, f.key, example)
		}
	}
}

const least = `
[host]
name = a1
zone = a
api = 127.0.0.1:7000
peer = 127.0.0.1:7001
[platform]
log = 127.0.0.1:9000
hosts = 127.0.0.1:9000
[zones]
configured = a
[peers]
secret = 0123456789abcdef
`

func TestDefaults(t *testing.T) {
	s, err := Parse("least", []byte(least))
	if err != nil {
		t.Fatal(err)
	}
	got := []any{s.Lease.TTL, s.Lease.TaskTTL, s.Limits.MaxBody, s.Config.MaxAge, s.Policy.Batch, s.Telemetry.Metrics}
	want := []any{3 * time.Second, 12 * time.Second, int64(1 << 20), time.Duration(0), PlacementPack, true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// bad pairs a line added to, or replaced in, the least file with the field that
// must be named.
var bad = []struct{ section, line, key, value string }{
	{"host", "name = Rosenau.A1", "name", "Rosenau.A1"},
	{"host", "zone = elsewhere", "zone", "elsewhere"},
	{"host", "api = localhost:7000", "api", "localhost:7000"},
	{"host", "api = 127.0.0.1", "api", "127.0.0.1"},
	{"host", "peer = 127.0.0.1:7000", "peer", "127.0.0.1:7000"},
	{"host", "peer = 127.0.0.1:0", "peer", "127.0.0.1:0"},
	{"platform", "log = [::1", "log", "[::1"},
	{"zones", "configured = a, a", "configured", "a, a"},
	{"zones", "configured = r/", "configured", "r/"},
	{"peers", "secret = short", "secret", hidden},
	{"peers", "seeds = 127.0.0.1:1, x", "seeds", "127.0.0.1:1, x"},
	{"lease", "ttl = 3", "ttl", "3"},
	{"lease", "ttl = 100h", "ttl", "100h"},
	{"lease", "task-ttl = 5s", "task-ttl", "5s"},
	{"lease", "drift = NaN", "drift", "NaN"},
	{"limits", "max-body = 1MB", "max-body", "1MB"},
	{"limits", "max-body = 9999999999GiB", "max-body", "9999999999GiB"},
	{"limits", "body-memory = 1KiB", "body-memory", "1024B"},
	{"limits", "max-connections = 0", "max-connections", "0"},
	{"limits", "request-timeout = -1s", "request-timeout", "-1s"},
	{"config", "poll = 10s", "poll", "10s"},
	{"config", "max-age = 1s", "max-age", "1s"},
	{"config", "snapshot = 1s", "snapshot", "1s"},
	{"telemetry", "metrics = true", "metrics", "true"},
	{"telemetry", "otlp = http://collector:4318", "otlp", "http://collector:4318"},
	{"telemetry", "sample = 2", "sample", "2"},
	{"tls", "certificate = a.pem", "key", ""},
	{"policy", "batch = random", "batch", "random"},
	{"policy", "batch = rack", "batch", "rack"},
	{"policy", "hedge-rate = 0", "hedge-rate", hidden},
	{"policy", "service = spread", "service", hidden},
	{"log", "level = loud", "level", "loud"},
	{"log", "levle = info", "levle", hidden},
	{"operators", "asha = 1234", "asha", hidden},
}

// with returns the least file with one key of a section set by line.
func with(section, line string) string {
	key, _, _ := strings.Cut(line, " ")
	var out []string
	in := ""
	for _, l := range strings.Split(least, "\n") {
		if strings.HasPrefix(l, "[") {
			in = strings.Trim(l, "[]")
		}
		if in != section || !strings.HasPrefix(l, key+" ") {
			out = append(out, l)
		}
	}
	return strings.Join(out, "\n") + "\n[" + section + "]\n" + line + "\n"
}

func TestEachBadFieldIsNamed(t *testing.T) {
	for _, c := range bad {
		_, err := Parse("f", []byte(with(c.section, c.line)))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || len(invalid.Fields) != 1 {
			t.Errorf("[%s] %s: got %v, want one bad field", c.section, c.line, err)
			continue
		}
		got := invalid.Fields[0]
		if got.Section != c.section || got.Key != c.key || got.Value != c.value || got.Allowed == "" {
			t.Errorf("[%s] %s: got %+v", c.section, c.line, got)
		}
	}
}

// An operator corrects a file once, not once for each mistake: all of them
// are reported by one check, and required keys that are missing among them.
func TestAllBadFieldsAtOnce(t *testing.T) {
	text := "stray = 1\n[host]\nname = a1\nname = a2\n[nowhere]\nx = 1\n[lease]\nttl = soon\n"
	_, err := Parse("f", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	var got []string
	for _, f := range invalid.Fields {
		got = append(got, f.Section+"/"+f.Key)
	}
	want := []string{"host/name", "host/zone", "host/api", "host/peer", "platform/log", "platform/hosts",
		"zones/configured", "peers/secret", "lease/ttl", "/stray", "nowhere/"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestUnreadable(t *testing.T) {
	var unreadable *UnreadableError
	if _, err := Load("does-not-exist.ini"); !errors.As(err, &unreadable) {
		t.Errorf("missing file: got %v", err)
	}
	if _, err := Parse("f", []byte("[host\nname")); !errors.As(err, &unreadable) {
		t.Errorf("broken section: got %v", err)
	}
}

// Text from anywhere gives settings that keep their own rules, or typed errors.
func FuzzParse(f *testing.F) {
	f.Add([]byte(least))
	for _, c := range bad {
		f.Add([]byte(with(c.section, c.line)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		var invalid *InvalidError
		var unreadable *UnreadableError
		switch {
		case err == nil && (len(s.Peers.Secret) < MinSecretLen || !s.hasZone(s.Host.Zone) || s.Lease.TaskTTL < 2*s.Lease.TTL):
			t.Errorf("accepted %q as %+v", text, s)
		case err != nil && !errors.As(err, &invalid) && !errors.As(err, &unreadable):
			t.Errorf("untyped error %v", err)
		}
	})
}
