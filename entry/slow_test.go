package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/settings"
)

// smallLimits are limits that a test can reach.
func smallLimits(s *settings.Settings) {
	s.Limits.MaxBody = 4 << 10
	s.Limits.BodyMemory = 16 << 10
	s.Limits.MaxHeader = 4 << 10
	s.Limits.MaxConnections = 24
	s.Limits.HeaderTimeout = 300 * time.Millisecond
	s.Limits.BodyTimeout = 300 * time.Millisecond
	s.Limits.RequestTimeout = 5 * time.Second
	s.Limits.IdleTimeout = time.Second
}

// dial opens a connection to the host of a caller.
func (c caller) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func send(t *testing.T, conn net.Conn, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, format, args...); err != nil {
		t.Fatal(err)
	}
}

// receive reads an answer from a connection.
func receive(t *testing.T, conn net.Conn) reply {
	t.Helper()
	r := readReply(conn)
	if r.status == 0 {
		t.Fatalf("no whole answer: %s", r.body)
	}
	return r
}

// readReply reads an answer. Its status is 0 if it did not come whole.
func readReply(conn net.Conn) reply {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	return reply{status: res.StatusCode, header: res.Header, body: data}
}

// ends waits until the other side has closed a connection.
func ends(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Error("the host holds the connection")
		}
	}
}

// Callers open every connection that the host allows and send their headers a
// byte at a time, or not at all. They must be thrown out, and an honest caller
// must be answered after that.
func TestSlowHeaders(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	var slow []net.Conn
	for range 30 { // more than the host holds
		conn := c.dial(t)
		send(t, conn, "POST /v1/services/grants/x HTTP/1.1\r\nHost: a\r\nX-Slow: ")
		slow = append(slow, conn)
	}
	if r := c.do(t, http.MethodPost, "/v1/services/grants/x", "honest"); r.status != http.StatusOK {
		t.Errorf("status %d: %s", r.status, r.body)
	}
	for _, conn := range slow {
		ends(t, conn)
	}
}

// Callers with a valid key announce bodies that never come. An announcement
// must not take memory from others, and each caller must be told that its
// request did not run.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	slow := c.beginBodies(t, 10, "part")
	if r := c.do(t, http.MethodPost, "/v1/services/grants/x", strings.Repeat("h", 2048)); r.status != http.StatusOK {
		t.Errorf("an honest caller: status %d: %s", r.status, r.body)
	}
	for _, conn := range slow {
		receive(t, conn).refused(t, problem.TypeMalformed)
		ends(t, conn)
	}
	if calls := f.Platform.Audit.Counts().Calls; calls != 2 {
		t.Errorf("%d calls ran, want 2", calls)
	}
}

// Callers of one team send large bodies but for the last byte, more than the
// host has memory for. Callers of another team must be served meanwhile.
func TestBodiesOfOneTeamLeaveRoom(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	honest := callerOf(f, other)
	honest.untilServed(t)
	const crowd, fit = 10, 4 // bodies, and how many of them the memory holds
	answers := make(chan reply, crowd)
	for _, conn := range c.beginBodies(t, crowd, strings.Repeat("s", 4095)) {
		go func() { answers <- readReply(conn) }()
	}
	for range crowd - fit {
		(<-answers).refused(t, problem.TypeBusy)
	}
	for range 3 {
		if r := honest.do(t, http.MethodPost, "/v1/services/grants/x", strings.Repeat("h", 4096)); r.status != http.StatusOK {
			t.Errorf("an honest caller: status %d: %s", r.status, r.body)
		}
	}
	for range fit {
		(<-answers).problem(t)
	}
}

// beginBodies opens connections and sends the beginnings of requests whose
// bodies are to have 4096 bytes.
func (c caller) beginBodies(t *testing.T, n int, begin string) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range n {
		conn := c.dial(t)
		send(t, conn, "POST /v1/services/grants/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 4096\r\n\r\n%s", c.key, begin)
		conns = append(conns, conn)
	}
	return conns
}

// A caller sends a header without end. It must be refused while the header is
// read, not held in memory.
func TestHeaderOverLimit(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	conn := c.dial(t)
	send(t, conn, "GET /v1/services/grants/x HTTP/1.1\r\nHost: a\r\nX-Long: %s", strings.Repeat("x", 9<<10))
	if r := receive(t, conn); r.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d: %s", r.status, r.body)
	}
}

// More callers connect than the host allows. Those over the limit must wait
// without a connection of the host, and be answered when others have gone.
func TestConnectionsOverLimit(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	done := make(chan error)
	const crowd = 60
	for n := range crowd {
		go func() { done <- c.alone(fmt.Sprint("caller ", n)) }()
	}
	for range crowd {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// alone sends a request over a connection of its own, again while it is
// refused as not run.
func (c caller) alone(body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := c.try(http.MethodPost, "/v1/services/grants/x", strings.NewReader(body))
		switch {
		case err != nil:
			return err
		case r.status == http.StatusOK:
			return nil
		case ctx.Err() != nil || !strings.Contains(string(r.body), `"not run"`):
			return fmt.Errorf("status %d: %s", r.status, r.body)
		}
	}
}

// Callers ask for large answers and never read them. When their deadline has
// passed they must hold nothing any more: the slots go to callers who do read.
func TestCallersWhoDoNotRead(t *testing.T) {
	layout := oneHost()
	layout.AnswerSize = 24 << 20 // more than the buffers of a connection hold
	f := startFleet(t, localfleet.Options{Layout: layout, Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	var greedy []net.Conn
	for range 16 { // as many as there are slots
		conn := c.dial(t)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10) // only makes the point sooner
		}
		send(t, conn, "GET /v1/services/grants/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 2s\r\n\r\n", c.key)
		greedy = append(greedy, conn)
	}
	until(t, "the greedy callers have their slots", func() bool { return f.Platform.Audit.Counts().Calls > len(greedy) })
	if r := c.settled(t, http.MethodGet, "/v1/services/grants/x", ""); r.status != http.StatusOK {
		t.Errorf("an honest caller: status %d: %.200s", r.status, r.body)
	}
	until(t, "the host lets go of the greedy callers", func() bool {
		return openCalls(t, c) == 0
	})
}

// openCalls returns how many requests the host has in flight.
func openCalls(t *testing.T, c caller) int {
	t.Helper()
	c.key = localfleet.OperatorToken
	var hosts []admin.HostStatus
	if r := c.do(t, http.MethodGet, admin.PathHosts, ""); json.Unmarshal(r.body, &hosts) != nil || len(hosts) != 1 {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	return hosts[0].InFlight
}

// Random bytes arrive at the callers' port. The host must go on.
func TestGarbage(t *testing.T) {
	f := startFleet(t, localfleet.Options{Adjust: smallLimits})
	c := callerOf(f, team)
	c.untilServed(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		conn := c.dial(t)
		noise := make([]byte, 512)
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		_, _ = conn.Write(noise)
		ends(t, conn)
	}
	if r := c.do(t, http.MethodPost, "/v1/services/grants/x", "honest"); r.status != http.StatusOK {
		t.Errorf("status %d: %s", r.status, r.body)
	}
}
