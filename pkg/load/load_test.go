package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// stubGate answers as a gate would, or wrongly to order.
type stubGate struct {
	service    http.Handler
	wrong      bool // it answers another prompt
	cut        bool // it ends streams without the marker
	double     bool // it runs once-only calls at each send
	refusals   int  // sends that it refuses first
	mu         sync.Mutex
	remembered map[string][]byte
}

func (g *stubGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusals > 0 {
		g.refusals--
		_ = outcome.Write(w, 503, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, Message: "busy", RetryAfter: time.Millisecond})
		return
	}
	if rest, ok := strings.CutPrefix(r.URL.Path, serviceproxy.PathPrefix+"records"); ok {
		g.once(w, r, rest)
		return
	}
	var req infer.Request
	_ = json.NewDecoder(r.Body).Decode(&req)
	if g.wrong {
		req.Messages[0].Content += "?"
	}
	g.chat(w, &req)
}

func (g *stubGate) chat(w http.ResponseWriter, req *infer.Request) {
	fingerprint := infer.FingerprintPrefix + "v1"
	text := EngineChecker{}.ExpectedText(req, fingerprint)
	w.Header().Set(outcome.Header, string(outcome.Ran))
	if !req.Stream {
		_ = json.NewEncoder(w).Encode(infer.Completion{
			SystemFingerprint: fingerprint,
			Choices:           []infer.Choice{{Message: infer.Message{Content: text}}},
		})
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, token := range strings.SplitAfter(text, " ") {
		b, _ := json.Marshal(infer.Chunk{SystemFingerprint: fingerprint, Choices: []infer.ChunkChoice{{Delta: infer.Delta{Content: token}}}})
		fmt.Fprintf(w, "data: %s\n\n", b)
	}
	if !g.cut {
		fmt.Fprintf(w, "data: %s\n\n", infer.DoneMarker)
	}
}

func (g *stubGate) once(w http.ResponseWriter, r *http.Request, path string) {
	key := r.Header.Get(service.KeyHeader)
	if g.remembered[key] == nil || g.double {
		r.URL.Path = path
		r.Header.Set(ask.HeaderOrganisation, r.Header.Get(infer.HeaderOrganisation))
		rec := httptest.NewRecorder()
		g.service.ServeHTTP(rec, r)
		g.remembered[key] = rec.Body.Bytes()
	}
	w.Header().Set(outcome.Header, string(outcome.Ran))
	_, _ = w.Write(g.remembered[key])
}

func play(t *testing.T, g *stubGate) *Report {
	t.Helper()
	return playWith(t, g, func(*Options) {})
}

func playWith(t *testing.T, g *stubGate, change func(*Options)) *Report {
	t.Helper()
	s := service.New(service.Config{Listener: httptest.NewUnstartedServer(nil).Listener})
	g.service = s.Handler()
	g.remembered = make(map[string][]byte)
	records := httptest.NewServer(s.Handler())
	defer records.Close()
	gate := httptest.NewServer(g)
	defer gate.Close()
	address := gate.Listener.Addr().String()
	o := Options{
		Gates:         []string{address, address},
		Seed:          1,
		Rate:          400,
		Duration:      500 * time.Millisecond,
		Organisations: []Organisation{{Name: "boia", Weight: 3}, {Name: "nile", Weight: 1}},
		Model:         "assistant",
		Prefixes:      4,
		PrefixWords:   16,
		Streamed:      0.5,
		Timeout:       5 * time.Second,
		Resends:       3,
		Once:          0.3,
		Service:       "records",
		OncePath:      "/stamp",
		KeyHeader:     service.KeyHeader,
		Duplicates:    0.5,
		Records:       []string{records.Listener.Addr().String()},
		MaxInFlight:   400,
	}
	change(&o)
	r, err := New(o, EngineChecker{})
	if err != nil {
		t.Fatal(err)
	}
	rep, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := rep.WriteHTML(io.Discard); err != nil {
		t.Fatal(err)
	}
	return rep
}

func TestRunChecksAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		gate *stubGate
		rule ledger.Rule // "" if all is right
	}{
		{"right", &stubGate{}, ""},
		{"refused at first", &stubGate{refusals: 3}, ""},
		{"another's answer", &stubGate{wrong: true}, ledger.RuleOwnAnswer},
		{"doubled action", &stubGate{double: true}, ledger.RuleOnce},
	} {
		t.Run(c.name, func(t *testing.T) {
			rep := play(t, c.gate)
			if c.rule == "" {
				if !rep.Passed() || rep.Done != rep.Sent || rep.NotSent != 0 {
					t.Fatalf("%d of %d done, %d not sent, violations %+v", rep.Done, rep.Sent, rep.NotSent, rep.Details)
				}
				return
			}
			if rep.Passed() || rep.Details[0].Rule != c.rule {
				t.Fatalf("violations %+v, want %q", rep.Details, c.rule)
			}
		})
	}
}

func TestCutStreamIsNotDone(t *testing.T) {
	rep := play(t, &stubGate{cut: true})
	for _, e := range rep.Ends {
		if e.Kind == string(kindStreamed) && e.Done {
			t.Fatalf("a stream without its end marker counts as done: %+v", e)
		}
	}
}

func TestArrivalsFollowTheSeed(t *testing.T) {
	o := Options{Gates: []string{"g"}, Seed: 7, Rate: 100, Duration: 10 * time.Second, Organisations: []Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}, Prefixes: 2, PrefixWords: 3}
	first, second := newArrivals(&o), newArrivals(&o)
	count := make(map[string]int)
	for {
		x, more := first.draw()
		y, _ := second.draw()
		if x != y {
			t.Fatalf("%+v and %+v", x, y)
		}
		if !more {
			break
		}
		count[x.organisation.Name]++
	}
	if n := count["a"] + count["b"]; n < 900 || n > 1100 || count["b"] < 2*count["a"] {
		t.Fatalf("%v of about 1000 arrivals, 3 of 4 by b", count)
	}
}

func TestDeadGateIsPassedBy(t *testing.T) {
	dead := httptest.NewServer(nil)
	address := dead.Listener.Addr().String()
	dead.Close()
	rep := playWith(t, &stubGate{}, func(o *Options) { o.Gates[0] = address })
	if !rep.Passed() || rep.Done != rep.Sent || rep.Resent == 0 {
		t.Fatalf("%d of %d done, %d resent", rep.Done, rep.Sent, rep.Resent)
	}
}
