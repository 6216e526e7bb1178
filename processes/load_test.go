package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// kind says how a request ended for its caller.
type kind string

const (
	answered kind = "answered" // the whole answer to this request
	notRun   kind = "not run"  // refused with a problem that says so
	unsure   kind = "unknown"  // a problem that says it may have run
	unsent   kind = "unsent"   // no connection was made
	broken   kind = "broken"   // the connection ended without an answer
	wrong    kind = "wrong"    // anything else
)

// answer is the end of one request.
type answer struct {
	kind   kind
	task   string // identifier under which it ran, if answered
	detail string
}

// callTimeout bounds a request, for callers of a host that does not move.
const callTimeout = 10 * time.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// ask sends a request that may run once only, and judges what comes back.
func ask(h *host, key string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url("/v1/services/grants/check"), bytes.NewReader(body))
	if err != nil {
		return answer{kind: wrong, detail: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return answer{kind: unsent, detail: err.Error()}
		}
		return answer{kind: broken, detail: err.Error()}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{kind: broken, detail: err.Error()}
	}
	if res.StatusCode != http.StatusOK {
		return judgeProblem(res.StatusCode, data)
	}
	return judgeAnswer(body, data)
}

func judgeProblem(status int, data []byte) answer {
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return answer{kind: wrong, detail: fmt.Sprintf("status %d: %s", status, data)}
	}
	switch p.Outcome {
	case work.OutcomeNotRun:
		return answer{kind: notRun, detail: p.Error()}
	case work.OutcomeUnknown:
		return answer{kind: unsure, detail: p.Error()}
	}
	return answer{kind: wrong, detail: string(data)}
}

// judgeAnswer compares an answer to what the demo upstream gives to this body
// and to no other.
func judgeAnswer(body, data []byte) answer {
	head, _, _ := strings.Cut(string(data), "\n")
	task := strings.TrimPrefix(head, "task ")
	if !bytes.Equal(data, standin.EchoBody(task, body, standin.Rosenau().AnswerSize)) {
		return answer{kind: wrong, detail: fmt.Sprintf("not the answer to %q: %s", body, data)}
	}
	return answer{kind: answered, task: task}
}

// load is callers that send requests one after another until they are told to
// stop. A balancer shows them the hosts that say they are ready.
type load struct {
	c      *cluster
	ready  atomic.Pointer[[]*host]
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[kind]int
	tasks  map[string]bool     // identifiers seen in answers
	bad    map[string][]answer // wrong, broken and unknown ends by host
	again  []string            // identifiers seen in two answers
	before int                 // calls that had run before the load, without asides
}

const (
	callers       = 8
	callerPause   = 5 * time.Millisecond  // after an answer; bounds the load on the machine
	balancerPause = 20 * time.Millisecond // between two looks at the hosts
)

// startLoad starts the callers, and returns when the first has an answer.
func startLoad(t *testing.T, c *cluster) *load {
	t.Helper()
	l := &load{c: c, stop: make(chan struct{}), counts: map[kind]int{}, tasks: map[string]bool{}, bad: map[string][]answer{}}
	l.before = audited[standin.Counts](t, c, "").Calls - c.asides
	l.look()
	l.wg.Go(l.balance)
	for n := range callers {
		l.wg.Go(func() { l.call(n) })
	}
	t.Cleanup(l.end)
	l.untilMore(t, 1)
	return l
}

// end stops the callers and waits for their last answers.
func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
}

func (l *load) balance() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(balancerPause):
			l.look()
		}
	}
}

// look asks every host whether it is ready.
func (l *load) look() {
	var ready []*host
	for _, h := range l.c.hosts {
		if isReady(h) {
			ready = append(ready, h)
		}
	}
	l.ready.Store(&ready)
}

// readyTimeout bounds the balancer's question.
const readyTimeout = 250 * time.Millisecond

func isReady(h *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url("/readyz"), nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (l *load) call(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		hosts := *l.ready.Load()
		if len(hosts) == 0 {
			time.Sleep(balancerPause)
			continue
		}
		h := hosts[(caller+n)%len(hosts)]
		body := fmt.Appendf(nil, "caller %d request %d", caller, n)
		a := ask(h, l.c.keys[teams[caller%len(teams)]], body)
		l.note(h, a)
		if a.kind == answered {
			time.Sleep(callerPause)
		} else {
			time.Sleep(balancerPause)
		}
	}
}

func (l *load) note(h *host, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[a.kind]++
	switch a.kind {
	case answered:
		if l.tasks[a.task] {
			l.again = append(l.again, a.task)
		}
		l.tasks[a.task] = true
	case wrong, broken, unsure:
		l.bad[h.id] = append(l.bad[h.id], a)
	}
}

// count returns how many requests ended in a way.
func (l *load) count(k kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[k]
}

// untilMore waits until so many more requests were answered.
func (l *load) untilMore(t *testing.T, more int) {
	t.Helper()
	target := l.count(answered) + more
	until(t, fmt.Sprintf("%d more requests are answered", more), func() bool { return l.count(answered) >= target })
}

// allowed says which bad ends a test's faults excuse. Wrong answers are never
// excused.
type allowed struct {
	unsure bool    // requests under way when a host was lost or cut off
	cut    []*host // hosts that were killed or stopped cut their callers off
}

// check ends the load and fails the test if an answer was wrong or came twice,
// or if a request was cut or left unsure without an excuse.
func (l *load) check(t *testing.T, allow allowed) {
	t.Helper()
	l.end()
	t.Logf("requests: %v", l.counts)
	for _, task := range l.again {
		t.Errorf("task %s answered two requests", task)
	}
	for id, list := range l.bad {
		for _, a := range list {
			if !allow.excuses(id, a.kind) {
				t.Errorf("%s: %s: %s", id, a.kind, a.detail)
			}
		}
	}
	l.checkRuns(t)
}

func (a allowed) excuses(id string, k kind) bool {
	if k == unsure {
		return a.unsure
	}
	for _, h := range a.cut {
		if h.id == id && k == broken {
			return true
		}
	}
	return false
}

// checkRuns compares what the workers ran with what the callers were told. A
// request that ran although its caller was told "not run" shows as one too
// many.
func (l *load) checkRuns(t *testing.T) {
	t.Helper()
	told := l.counts[answered] + l.counts[unsure] + l.counts[broken] + l.c.unsureAsides
	ran := audited[standin.Counts](t, l.c, "").Calls - l.before - l.c.asides
	if ran < l.counts[answered] || ran > told {
		t.Errorf("%d calls ran; %d answered, %d told that they did or may have run", ran, l.counts[answered], told)
	}
}
