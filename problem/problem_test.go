package problem

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/work"
)

func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	sent := NotRun(TypeBusy, "all slots are taken").After(1200 * time.Millisecond)
	Write(w, sent)
	var got Problem
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(*sent, got); diff != "" {
		t.Error(diff)
	}
	h := w.Header()
	if w.Code != http.StatusServiceUnavailable || h.Get("Retry-After") != "2" || h.Get("Content-Type") != ContentType {
		t.Errorf("status %d, header %v", w.Code, h)
	}
}

// A code path that sets no outcome may have run the work. If the caller received
// "not run", it could retry and run the work a second time.
func TestUnsetOutcomeIsSentAsUnknown(t *testing.T) {
	w := httptest.NewRecorder()
	Write(w, &Problem{Type: TypeBusy, Status: http.StatusServiceUnavailable})
	var got Problem
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Outcome != work.OutcomeUnknown || w.Code != http.StatusInternalServerError {
		t.Errorf("got %d %+v", w.Code, got)
	}
}

func TestEveryTypeHasItsClass(t *testing.T) {
	for typ, c := range classes {
		p := NotRun(typ, "")
		if p.Status != c.status || p.Status < 400 || p.Title == "" {
			t.Errorf("%s: %+v", typ, p)
		}
	}
	if p := NotRun("urn:other", ""); p.Status != http.StatusInternalServerError {
		t.Errorf("unknown type: %+v", p)
	}
}
