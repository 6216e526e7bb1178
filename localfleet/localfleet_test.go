package localfleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/standin"
)

// smallLayout is one zone with two hosts and four workers.
func smallLayout() standin.Layout {
	l := standin.Rosenau()
	l.Zones = []standin.ZoneLayout{{Zone: "a", Workers: 4, Hosts: 2}}
	l.HostLag = 100 * time.Millisecond
	return l
}

func start(t testing.TB, layout standin.Layout) *localfleet.Fleet {
	t.Helper()
	f, err := localfleet.Start(context.Background(), localfleet.Options{Layout: layout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// testTimeout bounds a whole test; nothing is asserted about shorter times.
const testTimeout = time.Minute

// retryPause is the pause between two tries of a call that was not run.
const retryPause = 50 * time.Millisecond

// do sends a request and repeats it while the answer says that it did not run.
func do(t testing.TB, method, url, key string, body string, want int) []byte {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		status, data := once(ctx, t, method, url, key, body)
		if status == want {
			return data
		}
		if !bytes.Contains(data, []byte(`"not run"`)) && (method != http.MethodGet || status != http.StatusServiceUnavailable) {
			t.Fatalf("%s %s: status %d: %s", method, url, status, data)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			t.Fatalf("%s %s: still status %d: %s", method, url, status, data)
		}
	}
}

func once(ctx context.Context, t testing.TB, method, url, key, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, data
}

// A caller sends a request to one of two entry hosts and gets the whole answer
// of an upstream; then it submits a batch job and sees it end.
func TestWholePath(t *testing.T) {
	f := start(t, smallLayout())
	key := f.Keys["citizens"]
	for _, m := range f.Hosts() {
		base := "http://" + m.Host.APIAddr()
		answer := do(t, http.MethodPost, base+"/v1/services/grants/apply", key, "one application", http.StatusOK)
		if len(answer) < f.Platform.Layout.AnswerSize {
			t.Errorf("answer of %d bytes, want at least %d", len(answer), f.Platform.Layout.AnswerSize)
		}
	}
	base := "http://" + f.Hosts()[0].Host.APIAddr()
	spec := `{"kind":"batch","name":"month end","need":{"milli_cpu":1000,"memory_mib":512},"tasks":3,"run":"50ms"}`
	accepted := do(t, http.MethodPost, base+"/v1/jobs", key, spec, http.StatusAccepted)
	var reply struct {
		Job, State, Outcome string
	}
	if err := json.Unmarshal(accepted, &reply); err != nil {
		t.Fatal(err)
	}
	ended := do(t, http.MethodGet, base+"/v1/jobs/"+reply.Job+"?wait=30s", key, "", http.StatusOK)
	if err := json.Unmarshal(ended, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.State != "ended" || reply.Outcome != "ran" {
		t.Errorf("job ended as %s", ended)
	}
	if doubled := f.Platform.Audit.Counts().Doubled; doubled != 0 {
		t.Errorf("%d tasks ran twice", doubled)
	}
}
