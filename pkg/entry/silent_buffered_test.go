package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

var (
	soundAnswer = fixedAnswer(200, "X-Sig: s\r\n", "ok")
	errorAnswer = fixedAnswer(500, "X-Sig: s\r\n", "oops")
	lostAnswer  = func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
)

// lateAnswer plays answer after some time.
func lateAnswer(after time.Duration, answer answerFunc) answerFunc {
	return func(c net.Conn, r *http.Request, attempt string) bool {
		time.Sleep(after)
		return answer(c, r, attempt)
	}
}

// playBuffered sends one idempotent request to two upstreams, of which first plays the first one that
// is tried. spent is what it takes from the retry budget.
func playBuffered(t *testing.T, first, others answerFunc, attempts int, check func(b *harness, w *recorder, spent float64)) {
	synctest.Test(t, func(t *testing.T) {
		answer := silentFirst(first, others)
		b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer, "p3": answer})
		b.removeColdBound(b.gateway)
		b.gateway.index.Load().Route("shop.example", "/again/1").MaxAttempts = attempts
		b.gateway.budget.addRequest("plain", 1)
		before := b.gateway.budget.tokens["plain"]
		w := b.send("GET", "/again/1", "", nil)
		b.assertNothingCounted("at the end of the request")
		check(b, w, before-b.gateway.budget.tokens["plain"])
		time.Sleep(2 * time.Minute) // let the upstreams end
	})
}

// TestSilentBufferedAttemptIsKeptUntilAnotherAnswers: the first upstream was given up after 1.2 s for
// one that did not answer either.
func TestSilentBufferedAttemptIsKeptUntilAnotherAnswers(t *testing.T) {
	for name, others := range map[string]answerFunc{
		"refuses":    fixedAnswer(503, "X-Not-Run: 1\r\n", "full"),
		"breaks off": cutAfter("%.0s"),
		"silent":     lostAnswer,
		"fails":      errorAnswer,
		"also slow":  lateAnswer(1500*time.Millisecond, soundAnswer),
	} {
		t.Run(name, func(t *testing.T) {
			playBuffered(t, lateAnswer(1500*time.Millisecond, soundAnswer), others, 2, func(b *harness, w *recorder, spent float64) {
				if w.status != http.StatusOK || w.body.String() != "ok" {
					t.Errorf("answered %d %q", w.status, w.body.String())
				}
				want := 2
				if name == "refuses" {
					want = 3 // what was not run does not count as an attempt
				}
				if n := b.total(); n != want || float64(n-1) != spent {
					t.Errorf("sent %d times for %v of the retry budget, want %d times", n, spent, want)
				}
			})
		})
	}
}

// The first usable answer wins, whatever the others do, and a long one ends the others first.
func TestFirstUsableBufferedAnswerIsForwarded(t *testing.T) {
	long := fixedAnswer(200, "X-Sig: s\r\n", strings.Repeat("x", 3*maxBufferedAnswer))
	for name, c := range map[string]struct {
		first, others answerFunc
		attempts      int
		status, bytes int
		sent          int
	}{
		"second of a lost one":      {lostAnswer, soundAnswer, 2, 200, 2, 2},
		"long second":               {lostAnswer, long, 2, 200, 3 * maxBufferedAnswer, 2},
		"long first":                {lateAnswer(1500*time.Millisecond, long), lostAnswer, 2, 200, 3 * maxBufferedAnswer, 2},
		"third of two lost ones":    {lostAnswer, silentFirst(lostAnswer, soundAnswer), 3, 200, 2, 3},
		"second, first breaks":      {lateAnswer(1300*time.Millisecond, cutAfter("%.0s")), lateAnswer(500*time.Millisecond, soundAnswer), 2, 200, 2, 2},
		"error, the other is lost":  {lostAnswer, errorAnswer, 2, 500, 4, 2},
		"error first, second lost":  {lateAnswer(1500*time.Millisecond, errorAnswer), lostAnswer, 2, 500, 4, 2},
		"no answer":                 {lostAnswer, lostAnswer, 2, 504, 16, 2},
		"both break":                {lateAnswer(1500*time.Millisecond, cutAfter("%.0s")), lateAnswer(time.Second, cutAfter("%.0s")), 2, 502, 42, 2},
		"no further attempt":        {lateAnswer(1500*time.Millisecond, soundAnswer), soundAnswer, 1, 200, 2, 1},
		"unframed of a sound one":   {lostAnswer, lateAnswer(100*time.Millisecond, unframedOK), 2, 200, 2, 2},
		"other's answer is foreign": {lateAnswer(1500*time.Millisecond, soundAnswer), fixedAnswer(200, "", "unsigned"), 2, 200, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			playBuffered(t, c.first, c.others, c.attempts, func(b *harness, w *recorder, spent float64) {
				if w.status != c.status || w.body.Len() != c.bytes || w.cut {
					t.Errorf("answered %d with %d bytes, cut %v, want %d with %d", w.status, w.body.Len(), w.cut, c.status, c.bytes)
				}
				if n := b.total(); n != c.sent || spent != float64(n-1) {
					t.Errorf("sent %d times for %v of the retry budget, want %d times", n, spent, c.sent)
				}
			})
		})
	}
}

// unframedOK answers without a length and closes the connection.
func unframedOK(c net.Conn, _ *http.Request, attempt string) bool {
	_, _ = c.Write([]byte("HTTP/1.1 200 X\r\nX-Attempt: " + attempt + "\r\nX-Sig: s\r\n\r\nok"))
	return false
}

// Each upstream that breaks off accuses the request; a dropped one does not.
func TestBrokenBufferedAttemptsAreHeldAgainstTheRequest(t *testing.T) {
	broken := func(after time.Duration) answerFunc { return lateAnswer(after, cutAfter("%.0s")) }
	for name, c := range map[string]struct {
		first, others answerFunc
		crashes       int
	}{
		"both break":  {broken(1500 * time.Millisecond), broken(time.Second), 2},
		"one breaks":  {lateAnswer(1500*time.Millisecond, errorAnswer), broken(time.Second), 1},
		"none breaks": {lateAnswer(1500*time.Millisecond, errorAnswer), errorAnswer, 0},
		"both silent": {lostAnswer, lostAnswer, 0},
	} {
		t.Run(name, func(t *testing.T) {
			playBuffered(t, c.first, c.others, 2, func(b *harness, w *recorder, _ float64) {
				f := suspect.ExactFingerprint("acme", "shop.example", "/again/1", nil)
				if n := len(b.gateway.guard.CrashesOf(f)); n != c.crashes {
					t.Errorf("%d crashes are known, want %d", n, c.crashes)
				}
			})
		})
	}
}

func TestRequestsThatMustNotRunTwiceAreNotSentBesideASilentUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		trial bool
	}{"at most once": {"/once/1", false}, "trial": {"/again/1", true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := lateAnswer(2500*time.Millisecond, soundAnswer)
				b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer})
				if c.trial {
					b.grantTrials()
					f := suspect.ExactFingerprint("acme", "shop.example", c.path, []byte("x"))
					for _, id := range []string{"gone1", "gone2"} {
						b.gateway.guard.Crashed(b.gateway.now(), f, quarantine.SeenCrash{Crash: quarantine.Crash{Upstream: id, StartedMS: 1}, At: b.gateway.now()})
					}
				}
				w := b.send("POST", c.path, "x", nil)
				if w.status != http.StatusOK || b.total() != 1 {
					t.Errorf("answered %d, sent %d times", w.status, b.total())
				}
				time.Sleep(2 * time.Minute) // let the upstreams end
			})
		})
	}
}

func TestClientThatLeavesEndsAllBufferedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": lostAnswer, "p2": lostAnswer})
		ctx, leave := context.WithTimeout(context.Background(), 2*time.Second)
		defer leave()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://shop.example/again/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.RequestURI = "/again/1"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set(testHeaders.Attempt, "a-1")
		began := time.Now()
		if w := serveRecorded(b.gateway, r); !w.cut || b.total() != 2 || time.Since(began) != 2*time.Second {
			t.Errorf("cut %v after %v, sent %d times", w.cut, time.Since(began), b.total())
		}
		b.assertNothingCounted("after the client left")
		if b.gateway.guard.Watches() {
			t.Error("the request is held responsible")
		}
		time.Sleep(2 * time.Minute) // let the upstreams end
	})
}
