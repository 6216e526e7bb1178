package exhaustion

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fireflyfold/fireflyfold/testport"
)

const (
	operatorToken = "operator-token-of-the-test"
	peerSecret    = "a-secret-of-the-test-alone"
	servedHost    = "oberbayern-1-h1"
	// zones is how many zones the stand-in of the platform has, each with an address of its own.
	zones = 4
)

// serveLimits bound the process of each test of "fireflyfold serve".
var serveLimits = limits{memoryBytes: 128 << 20, descriptors: 1000}

const serveSettings = `
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
secret = %[4]s
[limits]
max-body        = 256KiB
body-memory     = 8MiB
max-header      = 16KiB
max-connections = 500
[config]
poll = 200ms
[operators]
tour = %[5]x
`

// served is a host of "fireflyfold serve" with a stand-in of the platform.
type served struct {
	*process
	program, api, peer string
	key                string // of the team that calls
}

// startServed starts a host. It has a configuration and a team's key if configured is set.
func startServed(t *testing.T, configured bool) *served {
	t.Helper()
	programs := buildPrograms(t)
	ports := testport.ReserveSequence(t, 1+zones+2)
	s := &served{program: filepath.Join(programs, "fireflyfold"), api: ports[1+zones], peer: ports[2+zones]}
	start(t, ports[:1+zones], filepath.Join(programs, "fireflyfold-platform"), "--listen", ports[0], "--host-lag", "500ms",
		"--host", "oberbayern-1/"+servedHost+"="+s.peer)
	waitFor(t, "the platform listens", func() bool { return listens(ports[0]) })
	settings := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf(serveSettings, s.api, s.peer, ports[1], peerSecret, sha256.Sum256([]byte(operatorToken)))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = start(t, []string{s.api, s.peer}, s.program, "serve", "--settings", settings)
	waitFor(t, "the host listens", func() bool { return listens(s.api) })
	if configured {
		s.configure(t)
		s.mustServe(t)
	}
	return s
}

func listens(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// configure gives a team a limit and a key.
func (s *served) configure(t *testing.T) {
	t.Helper()
	s.change(t, "--team", "citizens", "--share", "1", "--limit", "60")
	s.key = s.change(t, "--give-key", "citizens")
}

// change makes a plan, puts it in force and returns the key that it gives, if any.
func (s *served) change(t *testing.T, args ...string) (key string) {
	t.Helper()
	plan := filepath.Join(t.TempDir(), "change.plan")
	waitFor(t, "the plan is in force", func() bool {
		out, err := s.operate(append([]string{"plan", "--json", "--out", plan}, args...)...)
		if err != nil {
			return false
		}
		var answer struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(out, &answer); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		key = answer.Key
		_, err = s.operate("confirm", plan)
		return err == nil
	})
	return key
}

// operate runs an operator's command and returns what it prints.
func (s *served) operate(args ...string) ([]byte, error) {
	cmd := exec.Command(s.program, args...)
	cmd.Env = append(os.Environ(), "FIREFLYFOLD_HOST="+s.api, "FIREFLYFOLD_KEY="+operatorToken)
	return cmd.Output()
}

// mustServe calls a service until it answers.
func (s *served) mustServe(t *testing.T) {
	t.Helper()
	waitFor(t, "a request is answered", func() bool { return s.call([]byte("x")) == http.StatusOK })
}

// call returns the status of the answer to a request with a body, or 0 if there is none.
func (s *served) call(body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.api+"/v1/services/grants/check", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	resp, err := newCaller().Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *served) mustHold(t *testing.T) {
	t.Helper()
	if !s.hasEnded() {
		s.mustServe(t)
	}
	s.check(t, serveLimits)
}

// request returns the head of a request to a service.
func (s *served) request(method, path string, headers ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + s.key + "\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

const servicePath = "/v1/services/grants/check"

// Guards against bodies of one team's callers that leave no memory for others while their end does not come.
func TestServeBodiesThatStopShort(t *testing.T) {
	s, body := startServed(t, true), paddedJob()
	press(t, s.api, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(s.request("POST", servicePath, lengthOf(len(body))) + string(body[:len(body)-1]))
		return err
	})
	s.mustHold(t)
}

// Guards against the same in pieces.
func TestServeBodiesInPiecesThatStopShort(t *testing.T) {
	s, body := startServed(t, true), paddedJob()
	press(t, s.api, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(s.request("POST", servicePath, lengthOf(len(body)))); err != nil {
			return err
		}
		return inPieces(w, body[:len(body)-1], 4<<10)
	})
	s.mustHold(t)
}

// Guards against bodies without a length that never end.
func TestServeChunksThatStopShort(t *testing.T) {
	for _, size := range []int{8, 64 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s, body := startServed(t, true), paddedJob()
			press(t, s.api, bodyCrowd, func(w *bufio.Writer) error {
				if _, err := w.WriteString(s.request("POST", "/v1/jobs", chunkedBody)); err != nil {
					return err
				}
				return inChunks(w, body, size)
			})
			s.mustHold(t)
		})
	}
}

// Guards against submissions that take many times their size once they are decoded.
func TestServeSubmissionsThatDecodeToManyTimesTheirSize(t *testing.T) {
	s := startServed(t, true)
	bodies := [][]byte{
		repeated(maxBody, `{"kind":"batch","tasks":1,"labels":[`, `{},`, `]}`),
		repeated(maxBody, `{"kind":"batch","tasks":1,"needs":{`, `"a":{},`, `}}`),
		repeated(maxBody, `[`, `[],`, `]`),
	}
	for _, body := range bodies {
		press(t, s.api, bodyCrowd/len(bodies), func(w *bufio.Writer) error {
			_, err := w.WriteString(s.request("POST", "/v1/jobs", lengthOf(len(body))) + string(body))
			return err
		})
	}
	s.mustHold(t)
}

// Guards against heads that are kept although they exceed the limit, on both ports.
func TestServeHeadsWithoutEnd(t *testing.T) {
	s := startServed(t, true)
	for _, address := range []string{s.api, s.peer} {
		press(t, address, bodyCrowd, func(w *bufio.Writer) error {
			if _, err := w.WriteString("GET / HTTP/1.1\r\n"); err != nil {
				return err
			}
			return repeat(w, "X-Filler: "+strings.Repeat("x", 100)+"\r\n", endless)
		})
	}
	s.mustHold(t)
}

// Guards against heads inside the limit that take many times their size as a map.
func TestServeHeadsOfManyHeadersThatStopShort(t *testing.T) {
	s := startServed(t, true)
	var head strings.Builder
	head.WriteString("GET " + servicePath + " HTTP/1.1\r\nHost: h\r\n")
	for i := 0; head.Len() < maxHead-16; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	press(t, s.api, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(head.String())
		return err
	})
	s.mustHold(t)
}

// Guards against empty lines that are read for as long as no request follows.
func TestServeEmptyLinesWithoutEnd(t *testing.T) {
	s := startServed(t, true)
	for _, address := range []string{s.api, s.peer} {
		press(t, address, bodyCrowd, func(w *bufio.Writer) error { return repeat(w, "\r\n", endless) })
	}
	s.mustHold(t)
}

// Guards against idle connections that leave no room for other callers, on both ports.
func TestServeIdleConnections(t *testing.T) {
	s := startServed(t, true)
	for _, address := range []string{s.api, s.peer} {
		press(t, address, connCrowd, func(*bufio.Writer) error { return nil })
	}
	s.mustHold(t)
}

// Guards against the same after a request that was answered.
func TestServeConnectionsIdleAfterARequest(t *testing.T) {
	s := startServed(t, true)
	press(t, s.api, connCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(s.request("GET", "/none"))
		return err
	})
	s.mustHold(t)
}

// Guards against bodies of requests that are answered without their body.
func TestServeBodiesThatNoHandlerReads(t *testing.T) {
	s, body := startServed(t, true), paddedJob()
	heads := []string{
		s.request("POST", "/none", lengthOf(len(body))),
		s.request("GET", "/v1/jobs/x", lengthOf(len(body))),
		strings.Replace(s.request("POST", "/v1/jobs", lengthOf(len(body))), "Bearer", "None", 1),
	}
	for _, head := range heads {
		press(t, s.api, connCrowd/len(heads), func(w *bufio.Writer) error {
			_, err := w.WriteString(head + string(body[:len(body)-1]))
			return err
		})
	}
	s.mustHold(t)
}

// Guards against clients that send requests and never read the answers.
func TestServeAnswersThatNobodyReads(t *testing.T) {
	s := startServed(t, true)
	requests := strings.Repeat(s.request("GET", "/none"), 100)
	press(t, s.api, connCrowd, func(w *bufio.Writer) error { return repeat(w, requests, endless) })
	s.mustHold(t)
}

// Guards against a host that has no limits before its first configuration.
func TestServeRequestsBeforeTheFirstConfiguration(t *testing.T) {
	s, body := startServed(t, false), paddedJob()
	press(t, s.api, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(s.request("POST", servicePath, lengthOf(len(body))) + string(body[:len(body)-1]))
		return err
	})
	s.configure(t)
	s.mustHold(t)
}

// peerCall returns the head of a call to the port for other hosts.
func peerCall(headers ...string) string {
	return "POST /fireflyfold.peer.v1.PeerService/CallJob HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + peerSecret +
		"\r\nContent-Type: application/proto\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// Guards against bodies without a bound on the port for other hosts.
func TestServeBodiesToThePortForHosts(t *testing.T) {
	s := startServed(t, true)
	press(t, s.peer, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(peerCall(lengthOf(1 << 40))); err != nil {
			return err
		}
		return repeat(w, "x", endless)
	})
	s.mustHold(t)
}

// Guards against bodies without a length on the port for other hosts.
func TestServeChunksToThePortForHosts(t *testing.T) {
	s := startServed(t, true)
	press(t, s.peer, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(peerCall(chunkedBody)); err != nil {
			return err
		}
		return inChunks(w, make([]byte, maxBody), 4<<10)
	})
	s.mustHold(t)
}

// Guards against compressed bodies on the port for other hosts.
func TestServeCompressedBodiesToThePortForHosts(t *testing.T) {
	s, body := startServed(t, true), compressed(64<<20)
	press(t, s.peer, compressedCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(peerCall(lengthOf(len(body)), "Content-Encoding: gzip") + string(body))
		return err
	})
	s.mustHold(t)
}

// Guards against a limit that refuses a single request inside the limits of the settings.
func TestServeLargestRequestIsServed(t *testing.T) {
	s := startServed(t, true)
	if status := s.call(paddedJob()); status != http.StatusOK {
		t.Errorf("answered with %d", status)
	}
	s.check(t, serveLimits)
}
