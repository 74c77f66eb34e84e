package serviceproxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// localRecords are the records in this process.
type localRecords struct {
	mu      sync.Mutex
	machine *once.Machine
}

func (l *localRecords) Intend(_ context.Context, i once.Intent) (once.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Intend(1, i), nil
}

func (l *localRecords) Conclude(_ context.Context, c once.Conclusion) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Conclude(1, c)
	return nil
}

// lease is a lease that is valid or not.
type lease bool

func (l lease) Valid() bool { return bool(l) }

// bench is a proxy with stand-in services.
type bench struct {
	proxy    *Proxy
	services []*service.Service
	record   *service.Record
}

func newBench(t *testing.T, valid bool, asked bool) *bench {
	t.Helper()
	b := &bench{record: service.NewRecord()}
	v := view.New()
	s := object.Service{
		Name:       "records",
		OnceOnly:   []object.Call{{Method: "POST", Path: "/stamp"}},
		KeyHeader:  service.KeyHeader,
		Timeout:    5 * time.Second,
		Retention:  time.Hour,
		MaxRecords: 10,
		MaxAnswer:  1 << 10,
	}
	if asked {
		s.OutcomePath = service.OutcomePath
	}
	v.Services.Put(s.Name, s, 1)
	sum := sha256.Sum256([]byte("secret"))
	v.Organisations.Put("boia", object.Organisation{Name: "boia"}, 1)
	v.Organisations.Put("nile", object.Organisation{Name: "nile", KeySHA256: hex.EncodeToString(sum[:])}, 1)
	for _, name := range []view.HostName{"r1", "r2"} {
		b.addService(t, v, name)
	}
	permits := permit.NewLocal("g1")
	permits.Install(v)
	records := &localRecords{machine: once.NewMachine(once.Options{})}
	records.machine.Publish(object.Set{Services: []object.Service{s}})
	b.proxy = New(Config{
		Gate:         "g1",
		View:         func() *view.View { return v },
		Lease:        lease(valid),
		Records:      records,
		Permits:      permits,
		MaxBodyBytes: 64,
	})
	t.Cleanup(func() {
		if err := b.proxy.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return b
}

func (b *bench) addService(t *testing.T, v *view.View, name view.HostName) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := view.Host{Name: name, Incarnation: 1, Kind: view.KindService, Service: "records", Address: l.Addr().String()}
	s := service.New(service.Config{Host: h, Listener: l, Record: b.record})
	b.services = append(b.services, s)
	server := &http.Server{Handler: s.Handler()}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	v.Hosts.Put(name, h, 1)
	v.Shares.Put(view.HostTarget(name), view.Share{Target: view.HostTarget(name), Incarnation: 1, Bound: 9, Cold: 9, Gates: []view.GateShare{{Gate: "g1", Permits: 9}}}, 1)
}

func (b *bench) order(f service.Fault) {
	for _, s := range b.services {
		s.SetFault(f)
	}
}

// send makes a request with headers given as name and value in turn.
func (b *bench) send(method, path, body string, header ...string) (*httptest.ResponseRecorder, outcome.Refusal) {
	r := httptest.NewRequest(method, "http://gate"+path, strings.NewReader(body))
	r.Header.Set(HeaderOrganisation, "boia")
	for n := 0; n+1 < len(header); n += 2 {
		r.Header.Del(header[n])
		if header[n+1] != "" {
			r.Header.Set(header[n], header[n+1])
		}
	}
	w := httptest.NewRecorder()
	b.proxy.ServeHTTP(w, r)
	var refused outcome.Refusal
	_ = json.Unmarshal(w.Body.Bytes(), &refused)
	return w, refused
}

func TestRefusals(t *testing.T) {
	key := []string{service.KeyHeader, "k1"}
	for _, c := range []struct {
		name         string
		method, path string
		body         string
		header       []string
		reason       outcome.Reason
	}{
		{"no key", "POST", "/svc/records/stamp", "x", nil, outcome.ReasonKeyMissing},
		{"longest key and more", "POST", "/svc/records/stamp", "x", []string{service.KeyHeader, strings.Repeat("k", 256)}, outcome.ReasonInvalid},
		{"no such service", "POST", "/svc/none/stamp", "x", key, outcome.ReasonNotFound},
		{"no service", "POST", "/svc/records", "x", key, outcome.ReasonNotFound},
		{"dots hide the call", "POST", "/svc/records/a/../stamp", "x", nil, outcome.ReasonInvalid},
		{"slashes hide the call", "POST", "/svc/records//stamp", "x", nil, outcome.ReasonInvalid},
		{"double encoding hides the call", "POST", "/svc/records/%2573tamp", "x", nil, outcome.ReasonInvalid},
		{"encoding hides the call", "POST", "/svc/records/%73tamp", "x", nil, outcome.ReasonKeyMissing},
		{"encoded slash hides the call", "POST", "/svc/records/a%2F..%2Fstamp", "x", nil, outcome.ReasonInvalid},
		{"case hides the call", "POST", "/svc/records/STAMP", "x", nil, outcome.ReasonKeyMissing},
		{"parameter hides the call", "POST", "/svc/records/;a/stamp", "x", nil, outcome.ReasonInvalid},
		{"case of the method hides the call", "post", "/svc/records/stamp", "x", nil, outcome.ReasonInvalid},
		{"too large", "POST", "/svc/records/stamp", strings.Repeat("x", 65), key, outcome.ReasonTooLarge},
		{"no organisation", "POST", "/svc/records/stamp", "x", []string{HeaderOrganisation, ""}, outcome.ReasonUnauthorised},
		{"name of one with a key", "POST", "/svc/records/stamp", "x", []string{HeaderOrganisation, "nile"}, outcome.ReasonUnauthorised},
		{"wrong API key", "POST", "/svc/records/stamp", "x", []string{headerAuthorization, "Bearer guess"}, outcome.ReasonUnauthorised},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, true, false)
			w, refused := b.send(c.method, c.path, c.body, c.header...)
			if refused.Reason != c.reason || refused.Outcome != outcome.NotRun || w.Header().Get(outcome.Header) != "not-run" {
				t.Fatalf("%d %s, want %s", w.Code, w.Body, c.reason)
			}
			if n := len(b.record.Executions()); n != 0 {
				t.Fatalf("refused, but executed %d times", n)
			}
		})
	}
}

func TestNoLeaseNoWork(t *testing.T) {
	b := newBench(t, false, false)
	_, refused := b.send("POST", "/svc/records/stamp", "x", service.KeyHeader, "k1")
	if refused.Reason != outcome.ReasonNoLease || refused.RetryAfter == 0 {
		t.Fatalf("got %+v", refused)
	}
}

func TestOnceOnly(t *testing.T) {
	b := newBench(t, true, false)
	first, _ := b.send("POST", "/svc/records/stamp", "vest 7", headerAuthorization, "Bearer secret", service.KeyHeader, "k1")
	if first.Code != 200 || first.Header().Get(outcome.Header) != "ran" || first.Header().Get(HeaderReplayed) != "" {
		t.Fatalf("first: %d %v", first.Code, first.Header())
	}
	again, _ := b.send("POST", "/svc/records/stamp", "vest 7", headerAuthorization, "Bearer secret", service.KeyHeader, "k1")
	if again.Body.String() != first.Body.String() || again.Header().Get(HeaderReplayed) != "true" || again.Header().Get("Content-Type") != "application/json" {
		t.Fatalf("resend: %s %v", again.Body, again.Header())
	}
	if _, refused := b.send("POST", "/svc/records/stamp", "vest 8", headerAuthorization, "Bearer secret", service.KeyHeader, "k1"); refused.Reason != outcome.ReasonKeyReused {
		t.Fatalf("other body: %+v", refused)
	}
	if other, _ := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1"); other.Code != 200 {
		t.Fatalf("same key of another organisation: %d", other.Code)
	}
	runs := b.record.Executions()
	if len(runs) != 2 || runs[0].Organisation != "nile" || runs[1].Organisation != "boia" {
		t.Fatalf("executions %+v", runs)
	}
}

// TestUnknownIsAskedFor breaks a call after it ran.
func TestUnknownIsAskedFor(t *testing.T) {
	for _, f := range []service.FaultKind{service.FaultCutAfter, service.FaultCutAnswer, service.FaultUnavailableAfter, service.FaultRedirect} {
		for _, asked := range []bool{false, true} {
			b := newBench(t, true, asked)
			b.order(service.Fault{Kind: f, Count: 1})
			w, _ := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
			b.order(service.Fault{})
			again, refused := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
			want := "unknown"
			if asked {
				want = "ran"
			}
			if got := w.Header().Get(outcome.Header); got != want {
				t.Errorf("%s, asked %v: outcome %s, want %s", f, asked, got, want)
			}
			if got := again.Header().Get(outcome.Header); got != want || !asked && refused.Reason != outcome.ReasonNotRepeated {
				t.Errorf("%s, asked %v: resend: outcome %s, want %s", f, asked, got, want)
			}
			if n := len(b.record.Executions()); n != 1 {
				t.Errorf("%s, asked %v: %d executions", f, asked, n)
			}
		}
	}
}

func TestOrdinaryCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   service.FaultKind
		method  string
		path    string
		status  int
		outcome string
	}{
		{"healthy", service.FaultNone, "GET", "/svc/records/availability", 200, "ran"},
		{"first host is busy", service.FaultUnavailable, "GET", "/svc/records/availability", 200, "ran"},
		{"first host breaks off", service.FaultCutBefore, "GET", "/svc/records/availability", 200, "ran"},
		{"not idempotent", service.FaultCutAfter, "POST", "/svc/records/bill", 502, "unknown"},
		{"busy, not idempotent", service.FaultUnavailable, "POST", "/svc/records/bill", 503, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, true, false)
			b.services[1].SetFault(service.Fault{Kind: c.fault})
			if c.status != 200 {
				b.order(service.Fault{Kind: c.fault})
			}
			for range 2 {
				w, _ := b.send(c.method, c.path, "")
				if w.Code != c.status || w.Header().Get(outcome.Header) != c.outcome {
					t.Fatalf("%d %s, want %d %s", w.Code, w.Header().Get(outcome.Header), c.status, c.outcome)
				}
			}
			if n := len(b.record.Executions()); n > 2 {
				t.Fatalf("2 calls were executed %d times", n)
			}
		})
	}
}

// TestCutAnswerNeverLooksWhole breaks an ordinary answer in its middle.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	b := newBench(t, true, false)
	b.order(service.Fault{Kind: service.FaultCutAnswer})
	gate := httptest.NewServer(b.proxy)
	defer gate.Close()
	req, _ := http.NewRequest("POST", gate.URL+"/svc/records/bill", nil)
	req.Header.Set(HeaderOrganisation, "boia")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Fatalf("a cut answer ended well: %q", body)
	}
}

func TestNoHostsButARecord(t *testing.T) {
	b := newBench(t, true, false)
	first, _ := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
	v := b.proxy.config.View()
	v.Hosts.Delete("r1", 2)
	v.Hosts.Delete("r2", 2)
	again, _ := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
	if again.Code != 200 || again.Body.String() != first.Body.String() {
		t.Fatalf("resend without hosts: %d %s", again.Code, again.Body)
	}
	if _, refused := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k2"); refused.Reason != outcome.ReasonNoUpstream || refused.Outcome != outcome.NotRun {
		t.Fatalf("new call without hosts: %+v", refused)
	}
}

// TestLoweredShare lowers a gate's share between the choice of a host and the
// first byte.
func TestLoweredShare(t *testing.T) {
	b := newBench(t, true, false)
	at, ok, _ := b.proxy.choose("records", nil)
	if !ok {
		t.Fatal("no place")
	}
	v := b.proxy.config.View()
	v.Revision++
	for _, name := range []view.HostName{"r1", "r2"} {
		v.Shares.Put(view.HostTarget(name), view.Share{Target: view.HostTarget(name), Incarnation: 1, Bound: 9, Cold: 9, Gates: []view.GateShare{{Gate: "g1"}}}, v.Revision)
	}
	b.proxy.config.Permits.(*permit.Local).Install(v)
	if err := b.proxy.lastCheck(at)(); !errors.Is(err, errNoPermit) {
		t.Fatalf("the first byte would go out: %v", err)
	}
	at.release(permit.EndInconclusive)
}

// TestBarredCallRunsOnResend loses a call before it runs. The service bars
// that attempt when it is asked; the caller's resend is another one.
func TestBarredCallRunsOnResend(t *testing.T) {
	b := newBench(t, true, true)
	b.record.RejectQueriedAttempts()
	b.order(service.Fault{Kind: service.FaultCutBefore, Count: 1})
	_, refused := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
	if refused.Outcome != outcome.NotRun {
		t.Fatalf("first: %+v", refused)
	}
	b.order(service.Fault{})
	again, _ := b.send("POST", "/svc/records/stamp", "vest 7", service.KeyHeader, "k1")
	if again.Code != 200 || len(b.record.Executions()) != 1 {
		t.Fatalf("resend: %d %s, %d executions", again.Code, again.Body, len(b.record.Executions()))
	}
}
