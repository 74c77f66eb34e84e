package entry

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// unframedHead is the header of an answer that only its connection ends.
const unframedHead = "HTTP/1.1 %d X\r\nX-Attempt: %s\r\nX-Sig: s\r\n\r\n"

// unframedAnswer answers with a body that only its connection ends, and calls end before the
// connection is closed.
func unframedAnswer(status int, body string, end func()) answerFunc {
	return func(c net.Conn, _ *http.Request, attempt string) bool {
		_, _ = fmt.Fprintf(c, unframedHead+"%s", status, attempt, body)
		end()
		return false
	}
}

// unframedStream sends events from after Last-Event-Id up to 10, but at most stop, without a length
// or chunks. Then it calls end and closes the connection.
func unframedStream(stop int, end func()) answerFunc {
	return func(c net.Conn, r *http.Request, attempt string) bool {
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		_, _ = fmt.Fprintf(c, unframedHead, http.StatusOK, attempt)
		for i := from + 1; i <= min(10, from+stop); i++ {
			time.Sleep(20 * time.Millisecond)
			if _, err := fmt.Fprintf(c, "id: %d\ndata: e%d\n\n", i, i); err != nil {
				return false
			}
		}
		end()
		return false
	}
}

// answerUnframed answers a request of a testFleet without a length or chunks. If it crashes the
// process, the answer ends early and the connection is closed in order.
func (h *simulatedHost) answerUnframed(c net.Conn, r *http.Request, attempt, kind string, crashes bool) {
	switch {
	case kind == "stream" && crashes:
		unframedStream(1, h.exit)(c, r, attempt)
	case kind == "stream":
		unframedStream(10, func() {})(c, r, attempt)
	case crashes:
		unframedAnswer(http.StatusOK, "fi", h.exit)(c, r, attempt)
	default:
		unframedAnswer(http.StatusOK, "fine", func() {})(c, r, attempt)
	}
}

// assertNotShort checks that an answer that looks complete is complete.
func (f *testFleet) assertNotShort(c clientRequest, w *recorder) {
	f.t.Helper()
	if w.status != http.StatusOK || w.cut {
		return
	}
	body, complete := w.body.String(), w.body.String() == "fine"
	if c.kind == "stream" {
		last := "10"
		if strings.HasPrefix(c.body, "long") {
			last = "100"
		}
		complete = strings.HasSuffix(body, "id: "+last+"\ndata: e"+last+"\n\n") || body == "" && c.lastEventID == last
	}
	if !complete {
		f.t.Errorf("%s after event %q: the short answer %.400q looks complete", c.key(), c.lastEventID, body)
	}
}

func TestCrashBehindUnframedAnswersIsBounded(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 7, fleetSize{entries: 4, plain: 6, engines: 8})
				crashing := clientRequest{kind: kind, body: "crash unframed"}
				var work sync.WaitGroup
				for second := range 30 {
					work.Go(func() { f.client(crashing) })
					work.Go(func() { f.client(clientRequest{kind: kind, body: fmt.Sprint("innocent unframed ", second)}) })
					time.Sleep(time.Second)
				}
				work.Wait()
				f.assertCrashesBounded(crashing)
				f.assertAttemptsBounded()
			})
		})
	}
}

// TestPopularUnframedRequestIsNotWithheldAfterAnOutage: its completed runs clear it, though none of
// its answers marks its end.
func TestPopularUnframedRequestIsNotWithheldAfterAnOutage(t *testing.T) {
	for _, kind := range []string{"again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 8, fleetSize{entries: 4, plain: 9, engines: 12})
				var work sync.WaitGroup
				for i := range 400 {
					work.Go(func() { f.client(clientRequest{kind: kind, body: "popular unframed"}) })
					time.Sleep(20 * time.Millisecond)
					if i == 125 {
						f.endDomain(0, (*simulatedHost).crash)
					}
				}
				work.Wait()
				if n := f.withheld(); n > 0 {
					t.Errorf("the quarantine withheld %d requests", n)
				}
			})
		})
	}
}

func TestUnframedAnswerOfAnEndedUpstreamIsNotComplete(t *testing.T) {
	for _, closeGap := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(fmt.Sprint("listener closed after ", closeGap), func(t *testing.T) { testEndBehindUnframedAnswers(t, closeGap, false) })
	}
}

func TestUnframedAnswerOfALeavingUpstreamThatEndsBehindItIsNotComplete(t *testing.T) {
	testEndBehindUnframedAnswers(t, 0, true)
}

// testEndBehindUnframedAnswers lets an upstream end that closes its connection first and its listener
// closeGap later. If it leaves, it has announced its end before.
func testEndBehindUnframedAnswers(t *testing.T, closeGap time.Duration, leaves bool) {
	long := strings.Repeat("x", 2*maxBufferedAnswer)
	half := func(status int) func(func()) answerFunc {
		return func(end func()) answerFunc { return unframedAnswer(status, "half", end) }
	}
	sound := fixedAnswer(200, "X-Sig: s\r\n", "fine")
	for name, c := range map[string]struct {
		kind   string
		first  func(end func()) answerFunc
		later  answerFunc
		status int
		cut    bool
		body   string // empty: any
		sent   int
	}{
		"at most once":                  {"once", half(200), sound, http.StatusBadGateway, false, "", 1},
		"at most once, failure":         {"once", half(500), sound, http.StatusBadGateway, false, "", 1},
		"idempotent":                    {"again", half(200), sound, 200, false, "fine", 2},
		"idempotent, not found":         {"again", half(404), sound, 200, false, "fine", 2},
		"long":                          {"once", func(end func()) answerFunc { return unframedAnswer(200, long, end) }, sound, 200, true, long, 1},
		"stream":                        {"stream", func(end func()) answerFunc { return unframedStream(4, end) }, streamFrom(10, 10, "s", nil), 200, false, events10(), 2},
		"stream before its first event": {"stream", func(end func()) answerFunc { return unframedStream(0, end) }, streamFrom(10, 10, "s", nil), 200, false, events10(), 2},
		"stream that failed":            {"stream", half(404), streamFrom(10, 10, "s", nil), 200, false, events10(), 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				answers := map[string]answerFunc{}
				var mu sync.Mutex
				first := true
				for _, id := range []string{"p1", "p2", "head1", "head2"} {
					answers[id] = func(conn net.Conn, r *http.Request, attempt string) bool {
						mu.Lock()
						ends := first
						first = false
						mu.Unlock()
						if ends {
							if leaves {
								b.announceDrain(id)
							}
							return c.first(func() { _ = conn.Close(); time.Sleep(closeGap); b.network.Exit(id) })(conn, r, attempt)
						}
						return c.later(conn, r, attempt)
					}
				}
				var out bytes.Buffer
				b = newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}), answers)
				w := b.send("POST", "/"+c.kind+"/1", "x", nil)
				if w.status != c.status || w.cut != c.cut || c.body != "" && w.body.String() != c.body {
					t.Errorf("answered %d, cut %v, %d bytes %.40q", w.status, w.cut, w.body.Len(), &w.body)
				}
				time.Sleep(time.Second) // let the upstream end
				if b.total() != c.sent {
					t.Errorf("sent %d times, want %d", b.total(), c.sent)
				}
				assertFields(t, requestLineWith(t, &out, "a-1", brokeOffLine), "upstream_state=ended")
				if c.sent == 1 && !b.gateway.guard.Watches() { // a second run completes and clears
					t.Error("the crash is not held against the request")
				}
			})
		})
	}
}

func TestResetUnframedAnswerIsNotComplete(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				answers := map[string]answerFunc{}
				for _, id := range []string{"p1", "head1"} {
					reset := func() { time.Sleep(10 * time.Millisecond); b.network.Kill(id) }
					answers[id] = unframedAnswer(200, "half", reset)
					if id == "head1" {
						answers[id] = unframedStream(4, reset)
					}
				}
				b = newHarness(t, answers)
				if w := b.send("POST", "/"+kind+"/1", "x", nil); w.status == 200 && !w.cut {
					t.Errorf("the broken answer %q looks complete", &w.body)
				}
			})
		})
	}
}

// soundUnframed holds complete answers that only their connection ends, by kind of route.
func soundUnframed(end func()) map[string]answerFunc {
	return map[string]answerFunc{"p1": unframedAnswer(200, "fine", end), "head1": unframedStream(10, end)}
}

var soundBodies = map[string]string{"once": "fine", "again": "fine", "stream": events10()}

func TestUnframedAnswerOfALivingUpstreamIsCompleteAndClears(t *testing.T) {
	for kind, body := range soundBodies {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, soundUnframed(func() {}))
				b.accuse(kind)
				w := b.send("POST", "/"+kind+"/1", "x", nil)
				if w.status != 200 || w.cut || w.body.String() != body || b.total() != 1 {
					t.Errorf("answered %d, cut %v, %q after %d requests", w.status, w.cut, &w.body, b.total())
				}
				if b.gateway.guard.Watches() {
					t.Error("the completed run does not clear the request")
				}
			})
		})
	}
}

func TestUnframedAnswerOfALeavingUpstreamIsComplete(t *testing.T) {
	for kind, body := range soundBodies {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				leave := func() {
					for _, u := range b.upstreams {
						b.announceDrain(u.ID)
						time.AfterFunc(50*time.Millisecond, func() { b.network.Exit(u.ID) })
					}
				}
				b = newHarness(t, soundUnframed(leave))
				b.accuse(kind)
				w := b.send("POST", "/"+kind+"/1", "x", nil)
				if w.status != 200 || w.cut || w.body.String() != body || b.total() != 1 {
					t.Errorf("answered %d, cut %v, %q after %d requests", w.status, w.cut, &w.body, b.total())
				}
				time.Sleep(time.Second) // let the upstreams end
				if b.gateway.guard.Watches() {
					t.Error("the completed run does not clear the request, or the announced end is held against it")
				}
			})
		})
	}
}

// TestUnframedAnswerOfALeavingUpstreamThatIsGoneAtOnce: what may run again is served whole by another
// upstream, though the first answer was whole too.
func TestUnframedAnswerOfALeavingUpstreamThatIsGoneAtOnce(t *testing.T) {
	for kind, body := range soundBodies {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				var once sync.Once
				answers := map[string]answerFunc{}
				for _, id := range []string{"p1", "p2", "head1", "head2"} {
					leave := func() { once.Do(func() { b.announceDrain(id); b.network.Exit(id) }) }
					answers[id] = soundUnframed(leave)[strings.TrimRight(id, "12")+"1"]
				}
				b = newHarness(t, answers)
				if kind == "once" { // a second crash would withhold what may run again
					b.accuse(kind)
				}
				w := b.send("POST", "/"+kind+"/1", "x", nil)
				if kind == "once" {
					if w.status != http.StatusBadGateway || b.total() != 1 {
						t.Errorf("answered %d, %q after %d requests", w.status, &w.body, b.total())
					}
					if !b.gateway.guard.Watches() {
						t.Error("a run whose upstream has ended clears the request")
					}
					return
				}
				if w.status != 200 || w.cut || w.body.String() != body || b.total() != 2 {
					t.Errorf("answered %d, cut %v, %q after %d requests", w.status, w.cut, &w.body, b.total())
				}
			})
		})
	}
}

// announceDrain tells the entry host that an upstream drains.
func (b *harness) announceDrain(id string) {
	for _, u := range b.upstreams {
		if u.ID == id {
			u.Sequence, u.State = u.Sequence+1, fleet.Draining
			b.gateway.balancer.applySync(b.gateway.now(), control.FleetSyncResult{Converged: true, Upstreams: []fleet.Upstream{u}, EntryHosts: 1}, localUsage{}, true)
		}
	}
}

// TestUnframedAnswerOfAnUpstreamThatIsNotFoundAliveIsNotComplete: nobody knows whether its connection ended the
// answer or broke it off. What may run again is served whole by another upstream, and events are forwarded
// before the check. What is not known clears no request.
func TestUnframedAnswerOfAnUpstreamThatIsNotFoundAliveIsNotComplete(t *testing.T) {
	for name, lose := range map[string]func(b *harness, id string){
		"no reply": func(b *harness, id string) { b.network.Cut("e1", id) },
		// The entry host stood still while the upstream crashed and came back.
		"another incarnation": func(b *harness, id string) {
			b.mu.Lock()
			b.incarnations[id] = "next"
			b.mu.Unlock()
		},
	} {
		for kind, body := range soundBodies {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testUpstreamLostBehindAnswer(t, kind, body, lose) })
			})
		}
	}
}

func testUpstreamLostBehindAnswer(t *testing.T, kind, body string, lose func(b *harness, id string)) {
	var b *harness
	var once sync.Once
	var lostAt time.Time
	var out bytes.Buffer
	answers := map[string]answerFunc{}
	for _, id := range []string{"p1", "p2", "head1", "head2"} {
		end := func() {
			once.Do(func() {
				lostAt = time.Now()
				lose(b, id)
			})
		}
		answers[id] = soundUnframed(end)[strings.TrimRight(id, "12")+"1"]
	}
	b = newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}), answers)
	if kind == "once" { // a second crash would withhold what may run again
		b.accuse(kind)
	}
	w := b.send("POST", "/"+kind+"/1", "x", nil)
	switch {
	case kind == "once" && (w.status != http.StatusBadGateway || b.total() != 1):
		t.Errorf("answered %d, %q after %d requests", w.status, &w.body, b.total())
	case kind != "once" && (w.status != 200 || w.cut || w.body.String() != body || b.total() != 2):
		t.Errorf("answered %d, cut %v, %q after %d requests", w.status, w.cut, &w.body, b.total())
	}
	if took := time.Since(lostAt); took > incarnationTimeout {
		t.Errorf("ended %v after the loss", took)
	}
	if late := w.lastWrite.Sub(lostAt); kind == "stream" && late > 2*time.Millisecond {
		t.Errorf("the last event came %v after it was sent", late)
	}
	if kind == "once" && !b.gateway.guard.Watches() {
		t.Error("a run whose upstream is not known to be alive clears the request")
	}
	assertFields(t, requestLineWith(t, &out, "a-1", "upstream is not known to be alive behind an answer without a length; not taken as complete"), "upstream=", "born=1")
	b.network.HealAll()
	time.Sleep(time.Minute)
}

// accuse holds the crash of an upstream against the request of the given kind that the tests send.
func (b *harness) accuse(kind string) {
	path := "/" + kind + "/1"
	c := &call{gateway: b.gateway, organisation: "acme", body: []byte("x"), r: &http.Request{Host: "shop.example", RequestURI: path, URL: &url.URL{Path: path}}}
	b.gateway.guard.Crashed(b.gateway.now(), c.requestFingerprint(), quarantine.SeenCrash{Crash: quarantine.Crash{Upstream: "other", StartedMS: 1}, At: b.gateway.now()})
}
