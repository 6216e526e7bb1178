package exhaustion

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/testport"
)

// hostLimits are the limits in the settings of each host.
var hostLimits = limits{memoryBytes: 128 << 20, descriptors: 1000}

const (
	// bodyCrowd is how many clients send bodies and heads: twice the memory of the host with bodies of
	// the largest size.
	bodyCrowd = 600
	// connCrowd is how many connections are more than the host may have.
	connCrowd = 1500
	// wholeCrowd is how many clients send bodies of the largest size to their end.
	wholeCrowd = 900
	// jobsPerClient is how many jobs each client submits that submits many.
	jobsPerClient = 200
	// compressedCrowd is how many clients send a small body that is large once it is decompressed.
	compressedCrowd = 60
	// endless is after how many bytes a client stops that would go on without end.
	endless = 4 << 20
)

const hostConfig = `{"version":1,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/p/","service":"svc","priority":1,
"maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],"services":[{"name":"svc"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ws","weight":1000,"apiKeys":["k1"]}]}`

// testHost is an entry host with a stand-in of the platform and one worker.
type testHost struct {
	*process
	store                 *fakeplatform.Store
	front, ready, control string
}

// startUnconfiguredHost starts a host for which there is no configuration yet.
func startUnconfiguredHost(t *testing.T) *testHost {
	t.Helper()
	programs := buildPrograms(t)
	h := &testHost{store: fakeplatform.NewStore(), front: testport.Reserve(t), ready: testport.Reserve(t), control: testport.Reserve(t)}
	endpoint := h.store.Endpoint()
	t.Cleanup(endpoint.Close)
	settings := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("node=h0\nip=127.0.0.1\nzone=z1\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nplatform.address=%s\n"+
		"limits.memoryMb=%d\nlimits.maxFds=%d\n", h.front, h.ready, h.control, endpoint.Address(), hostLimits.memoryBytes>>20, hostLimits.descriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = start(t, []string{h.front, h.ready, h.control}, filepath.Join(programs, "fireflyfold"), "host", "--settings", settings)
	waitFor(t, "the host listens", func() bool {
		conn, err := net.Dial("tcp", h.front) // the callers' port is opened last
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return h
}

func (h *testHost) configure(t *testing.T) {
	t.Helper()
	w := fakeplatform.NewUnlistedWorker(h.store, "w0", 50*time.Millisecond)
	t.Cleanup(w.Close)
	w.List(w.Address())
	h.store.Put("keyed.op", "config", []byte(hostConfig))
}

func startHost(t *testing.T) *testHost {
	t.Helper()
	h := startUnconfiguredHost(t)
	h.configure(t)
	h.mustBeReady(t)
	h.mustServe(t)
	return h
}

func (h *testHost) mustBeReady(t *testing.T) {
	t.Helper()
	waitFor(t, "the host is ready", func() bool {
		resp, err := newCaller().Get("http://" + h.ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// newCaller returns a client with a connection of its own.
func newCaller() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// mustServe submits a job, again after a refusal or a lost connection, until it is accepted.
func (h *testHost) mustServe(t *testing.T) {
	t.Helper()
	path := jobPath()
	waitFor(t, "a job is accepted", func() bool {
		return h.call(http.MethodPost, path, []byte(`{"spec":"x","steps":[{"count":1,"cpu":100}]}`)) == http.StatusOK
	})
	waitFor(t, "its state is answered", func() bool { return h.call(http.MethodGet, path, nil) == http.StatusOK })
}

// call returns the status of the answer, or 0 if there is none.
func (h *testHost) call(method, path string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "jobs.example"
	req.Header.Set("Credential", "k1")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := newCaller().Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status tells all
	return resp.StatusCode
}

// mustHold checks that a caller is served while a crowd keeps its connections open, and that the host
// has stayed within its limits.
func (h *testHost) mustHold(t *testing.T) {
	t.Helper()
	if !h.hasEnded() {
		h.mustServe(t)
	}
	h.check(t, hostLimits)
}

// Guards against bodies of the largest size that together exceed the memory.
func TestWholeBodies(t *testing.T) {
	h, body := startHost(t), paddedJob()
	press(t, h.front, wholeCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + string(body))
		return err
	})
	h.mustHold(t)
}

// Guards against bodies that are kept in memory for as long as their last byte does not come.
func TestBodiesThatStopShort(t *testing.T) {
	h, body := startHost(t), paddedJob()
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + string(body[:len(body)-1]))
		return err
	})
	h.mustHold(t)
}

// Guards against the same with bodies that come piece by piece, each piece in time.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	h, body := startHost(t), paddedJob()
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body)))); err != nil {
			return err
		}
		return inPieces(w, body[:len(body)-1], 4<<10)
	})
	h.mustHold(t)
}

// Guards against bodies without a length that never end.
func TestLargeChunksThatStopShort(t *testing.T) {
	h, body := startHost(t), paddedJob()
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(request("POST", jobPath(), chunkedBody)); err != nil {
			return err
		}
		return inChunks(w, body, 64<<10)
	})
	h.mustHold(t)
}

// Guards against the same where each chunk has a few bytes.
func TestSmallChunksThatStopShort(t *testing.T) {
	h, body := startHost(t), paddedJob()
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(request("POST", jobPath(), chunkedBody)); err != nil {
			return err
		}
		return inChunks(w, body, 8)
	})
	h.mustHold(t)
}

// Guards against heads that are kept in memory although they exceed the limit.
func TestHeadsWithoutEnd(t *testing.T) {
	h := startHost(t)
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString("GET " + jobPath() + " HTTP/1.1\r\nHost: jobs.example\r\n"); err != nil {
			return err
		}
		return repeat(w, "X-Filler: "+strings.Repeat("x", 100)+"\r\n", endless)
	})
	h.mustHold(t)
}

// Guards against a header of one line that never ends.
func TestHeaderLinesWithoutEnd(t *testing.T) {
	h := startHost(t)
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString("GET " + jobPath() + " HTTP/1.1\r\nHost: jobs.example\r\nX-Filler: "); err != nil {
			return err
		}
		return repeat(w, "x", endless)
	})
	h.mustHold(t)
}

// Guards against heads inside the limit that take many times their size as a map.
func TestHeadsOfManyHeadersThatStopShort(t *testing.T) {
	h := startHost(t)
	var head strings.Builder
	head.WriteString("GET /p/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n")
	for i := 0; head.Len() < maxHead-16; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(head.String())
		return err
	})
	h.mustHold(t)
}

// Guards against empty lines that are read for as long as no request follows.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	h := startHost(t)
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error { return repeat(w, "\r\n", endless) })
	h.mustHold(t)
}

// Guards against the same after a request, where some empty lines are allowed.
func TestEmptyLinesAfterARequest(t *testing.T) {
	h := startHost(t)
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(request("POST", "/none", lengthOf(0))); err != nil {
			return err
		}
		return repeat(w, "\r\n", endless)
	})
	h.mustHold(t)
}

// Guards against bodies of requests that are answered without their body: unknown paths, reads, wrong keys.
func TestBodiesThatNoHandlerReads(t *testing.T) {
	h, body := startHost(t), paddedJob()
	heads := []string{
		request("POST", "/none", lengthOf(len(body))),
		request("GET", jobPath(), lengthOf(len(body))),
		request("GET", "/p/", chunkedBody),
		request("PUT", jobPath(), lengthOf(1<<40)),
		strings.Replace(request("POST", jobPath(), lengthOf(len(body))), "k1", "k2", 1),
	}
	for _, head := range heads {
		press(t, h.front, connCrowd/len(heads), func(w *bufio.Writer) error {
			if _, err := w.WriteString(head); err != nil {
				return err
			}
			if strings.Contains(head, chunkedBody) {
				return inChunks(w, body, 4<<10)
			}
			_, err := w.Write(body[:len(body)-1])
			return err
		})
	}
	h.mustHold(t)
}

// Guards against connections without a request that use up the descriptors.
func TestIdleConnections(t *testing.T) {
	h := startHost(t)
	press(t, h.front, connCrowd, func(*bufio.Writer) error { return nil })
	h.mustHold(t)
}

// Guards against the same after a request that was answered.
func TestConnectionsIdleAfterARequest(t *testing.T) {
	h := startHost(t)
	press(t, h.front, connCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(request("GET", "/none"))
		return err
	})
	h.mustHold(t)
}

// Guards against a flood on every port of the host at once.
func TestConnectionsToAllPorts(t *testing.T) {
	h := startHost(t)
	for _, address := range []string{h.front, h.ready, h.control} {
		press(t, address, connCrowd, func(*bufio.Writer) error { return nil })
	}
	h.mustHold(t)
	h.mustBeReady(t)
}

// Guards against clients that send requests and never read the answers.
func TestAnswersThatNobodyReads(t *testing.T) {
	h := startHost(t)
	requests := strings.Repeat(request("GET", "/none"), 100)
	press(t, h.front, connCrowd, func(w *bufio.Writer) error { return repeat(w, requests, endless) })
	h.mustHold(t)
}

// Guards against submissions that take many times their size once they are decoded: steps, short
// elements, and names of steps.
func TestSubmissionsThatDecodeToManyTimesTheirSize(t *testing.T) {
	h := startHost(t)
	bodies := [][]byte{
		repeated(maxBody, `{"spec":"x","steps":[`, `{},`, `]}`),
		repeated(maxBody, `{"spec":"x","steps":[{"count":1},{"count":1,"dependsOn":[`, `0,`, `]}]}`),
		repeated(maxBody, `{"spec":"x","steps":[`, `{"count":1},`, `]}`),
		repeated(maxBody, `{"spec":"x","steps":[`, `null,`, `]}`),
	}
	for _, body := range bodies {
		press(t, h.front, bodyCrowd/len(bodies), func(w *bufio.Writer) error {
			_, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + string(body))
			return err
		})
	}
	h.mustHold(t)
}

// Guards against a host that has no limits before its first configuration.
func TestRequestsBeforeTheFirstConfiguration(t *testing.T) {
	h := startUnconfiguredHost(t)
	body := paddedJob()
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + string(body[:len(body)-1]))
		return err
	})
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString("GET / HTTP/1.1\r\n"); err != nil {
			return err
		}
		return repeat(w, "X-Filler: "+strings.Repeat("x", 100)+"\r\n", endless)
	})
	h.configure(t)
	h.mustBeReady(t)
	h.mustHold(t)
}

// keepCall returns the head of a call to the port for other hosts.
func keepCall(headers ...string) string {
	return "POST /hostrpc.Helper/Keep HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// Guards against bodies without a bound on the port for other hosts.
func TestBodiesToThePortForHosts(t *testing.T) {
	h := startHost(t)
	press(t, h.control, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(keepCall(lengthOf(1 << 40))); err != nil {
			return err
		}
		return repeat(w, "x", endless)
	})
	h.mustHold(t)
}

// Guards against bodies without a length on the port for other hosts.
func TestChunksToThePortForHosts(t *testing.T) {
	h := startHost(t)
	press(t, h.control, bodyCrowd, func(w *bufio.Writer) error {
		if _, err := w.WriteString(keepCall(chunkedBody)); err != nil {
			return err
		}
		return inChunks(w, make([]byte, maxBody), 4<<10)
	})
	h.mustHold(t)
}

// Guards against compressed bodies on the port for other hosts.
func TestCompressedBodiesToThePortForHosts(t *testing.T) {
	h, body := startHost(t), compressed(64<<20)
	press(t, h.control, compressedCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(keepCall(lengthOf(len(body)), "Content-Encoding: gzip") + string(body))
		return err
	})
	h.mustHold(t)
}

// Guards against heads without end on the ports that serve no callers.
func TestHeadsToTheOtherPorts(t *testing.T) {
	h := startHost(t)
	for _, address := range []string{h.ready, h.control} {
		press(t, address, bodyCrowd, func(w *bufio.Writer) error {
			if _, err := w.WriteString("GET / HTTP/1.1\r\n"); err != nil {
				return err
			}
			return repeat(w, "X-Filler: "+strings.Repeat("x", 100)+"\r\n", endless)
		})
	}
	h.mustHold(t)
	h.mustBeReady(t)
}

// Guards against jobs whose tasks take many times the size of their submission in the memory of the leader.
func TestJobsOfManyTasks(t *testing.T) {
	h := startHost(t)
	const body = `{"spec":"x","steps":[{"count":10000,"cpu":1000000}]}`
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		_, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + body)
		return err
	})
	h.mustHold(t)
}

// Guards against jobs that are small and so many that they exceed the memory of the leader.
func TestManySmallJobs(t *testing.T) {
	h := startHost(t)
	const body = `{"spec":"x","steps":[{"count":1,"cpu":100}]}`
	press(t, h.front, bodyCrowd, func(w *bufio.Writer) error {
		for range jobsPerClient {
			if _, err := w.WriteString(request("POST", jobPath(), lengthOf(len(body))) + body); err != nil {
				return err
			}
		}
		return nil
	})
	h.mustHold(t)
}

// Guards against a limit that refuses a single request inside the limits of the configuration.
func TestLargestRequestIsServed(t *testing.T) {
	h := startHost(t)
	const steps = 10_000
	largest := []byte(`{"spec":"` + strings.Repeat("s", 4000) + `","steps":[` + strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":100},`, steps), ",") + `]}`)
	for name, body := range map[string][]byte{"padded": paddedJob(), "many steps": largest} {
		if status := h.call(http.MethodPost, jobPath(), body); status != http.StatusOK {
			t.Errorf("%s: answered with %d", name, status)
		}
	}
	h.check(t, hostLimits)
}
