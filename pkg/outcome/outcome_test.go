package outcome

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"
)

func TestCombine(t *testing.T) {
	for _, c := range []struct{ a, b, want Outcome }{
		{NotRun, NotRun, NotRun},
		{NotRun, Unknown, Unknown},
		{Unknown, Ran, Ran},
		{NotRun, Ran, Ran},
		{"", NotRun, Unknown},
	} {
		if got := Combine(c.a, c.b); got != c.want {
			t.Errorf("Combine(%q, %q) = %q, want %q", c.a, c.b, got, c.want)
		}
		if got := Combine(c.b, c.a); got != c.want {
			t.Errorf("Combine(%q, %q) = %q, want %q", c.b, c.a, got, c.want)
		}
	}
}

func TestWrite(t *testing.T) {
	rec := httptest.NewRecorder()
	sent := Refusal{Outcome: NotRun, Reason: ReasonOverloaded, Message: "busy", RetryAfter: 1200 * time.Millisecond}
	if err := Write(rec, 503, sent); err != nil {
		t.Fatal(err)
	}
	if got := rec.Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After is %q, want 2", got)
	}
	if got := rec.Header().Get(Header); got != "not-run" {
		t.Errorf("%s is %q", Header, got)
	}
	var got Refusal
	if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got != sent {
		t.Errorf("read back %+v, want %+v", got, sent)
	}
}
