package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func post(t *testing.T, base, key string) (int, error) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPost, base+"/stamp", strings.NewReader("vest 7"))
	req.Header.Set(KeyHeader, key)
	req.Header.Set(ask.HeaderOrganisation, "boia")
	req.Header.Set(ask.HeaderAttempt, "attempt-"+key)
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		kind   FaultKind
		runs   int
		status int
		broken bool
	}{
		{FaultNone, 1, 200, false},
		{FaultCutBefore, 0, 0, true},
		{FaultCutAfter, 1, 0, true},
		{FaultCutAnswer, 1, 200, true},
		{FaultSlow, 1, 200, false},
		{FaultUnavailableAfter, 1, 503, false},
		{FaultUnavailable, 0, 503, false},
		{FaultRedirect, 1, 307, false},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			s := New(Config{Listener: dummyListener{}})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			s.SetFault(Fault{Kind: c.kind, Count: 1})
			status, err := post(t, server.URL, "k")
			if status != c.status || (err != nil) != c.broken {
				t.Fatalf("status %d, error %v", status, err)
			}
			if got := len(s.Record().Executions()); got != c.runs {
				t.Fatalf("%d executions, want %d", got, c.runs)
			}
			if status, err := post(t, server.URL, "k2"); status != 200 || err != nil {
				t.Fatalf("after the fault: %d, %v", status, err)
			}
		})
	}
}

func TestAskingBarsAnAttempt(t *testing.T) {
	s := New(Config{Listener: dummyListener{}, RejectQueriedAttempts: true})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	req, _ := http.NewRequest(http.MethodGet, server.URL+OutcomePath+"/k", nil)
	req.Header.Set(ask.HeaderOrganisation, "boia")
	req.Header.Set(ask.HeaderAttempt, "attempt-k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply ask.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || reply.Outcome != outcome.NotRun || !reply.Final {
		t.Fatalf("reply %+v, %v", reply, err)
	}
	if status, err := post(t, server.URL, "k"); status != http.StatusConflict || err != nil {
		t.Fatalf("a barred attempt: %d, %v", status, err)
	}
	if n := len(s.Record().Executions()); n != 0 {
		t.Fatalf("a barred attempt ran %d times", n)
	}
}

func TestAnnouncesAndLeaves(t *testing.T) {
	heard := make(chan announce.Announcement, 16)
	gate := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announce.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		heard <- a
	}))
	defer gate.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{
		Host:     view.Host{Name: "r1", Incarnation: 3, Service: "records"},
		Listener: l,
		Gates:    []string{gate.Listener.Addr().String()},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	a := <-heard
	if a.Host.Kind != view.KindService || a.Host.Address != l.Addr().String() || a.Host.Leaving {
		t.Fatalf("announced %+v", a.Host)
	}
	cancel()
	for !a.Host.Leaving {
		a = <-heard
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// dummyListener stands for the listener of a service whose handler is served
// by the test.
type dummyListener struct{ net.Listener }

// Addr implements net.Listener.
func (dummyListener) Addr() net.Addr { return &net.TCPAddr{} }
