package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

const (
	silence      = 1500 * time.Millisecond // of sound heads that go on afterwards
	silenceBegin = 100 * time.Millisecond  // after the start of the streams
)

// silentBetween answers like streamFrom, but sends nothing while a silence lasts.
func silentBetween(from, to time.Time) answerFunc {
	return func(c net.Conn, r *http.Request, attempt string) bool {
		reader, writer := io.Pipe()
		go func() {
			_ = streamFrom(10, 10, "s", nil)(pipeConn{c, writer}, r, attempt)
			_ = writer.Close()
		}()
		lines := bufio.NewReader(reader)
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				return true
			}
			if now := time.Now(); !now.Before(from) && now.Before(to) {
				time.Sleep(to.Sub(now))
			}
			if _, err := c.Write(line); err != nil {
				_ = reader.CloseWithError(err)
				return false
			}
		}
	}
}

// pipeConn writes to a pipe instead of its connection.
type pipeConn struct {
	net.Conn
	w io.Writer
}

func (c pipeConn) Write(b []byte) (int, error) { return c.w.Write(b) }

// TestStreamsOutlastASilenceOfSoundHeads: heads fall silent together for a time that clients bear
// and go on. No client may lose its answer.
func TestStreamsOutlastASilenceOfSoundHeads(t *testing.T) {
	refuses := fixedAnswer(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "full")
	for name, c := range map[string]struct {
		path    string
		streams int
		begin   time.Duration // of the silence
		sound   int           // number of heads that fall silent
		others  answerFunc    // of two more heads; nil: there are none
		prepare func(b *harness)
		during  func(b *harness) // in the middle of the silence
	}{
		"room at all heads":            {streams: 4, sound: 4},
		"heads are full":               {streams: 20, sound: 4},
		"before the first event":       {streams: 8, sound: 4, begin: -time.Millisecond},
		"two attempts, room":           {path: "/twice/", streams: 4, sound: 4},
		"two attempts, heads are full": {path: "/twice/", streams: 20, sound: 4},
		"two attempts, no event yet":   {path: "/twice/", streams: 8, sound: 4, begin: -time.Millisecond},
		"the only head":                {streams: 4, sound: 1},
		"other heads refuse":           {streams: 4, sound: 1, others: refuses},
		"other heads break off":        {streams: 4, sound: 1, others: cutAfter("%.0s")},
		"other heads are silent":       {streams: 4, sound: 1, others: func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }},
		"budget is spent":              {streams: 8, sound: 4, prepare: func(b *harness) { b.gateway.budget = newRetryBudget(0, 0) }},
		"documents change meanwhile": {streams: 8, sound: 4, during: func(b *harness) {
			set := testSet()
			set.Version, set.Routes, set.Services[1].WarmupPerSecond = 2, set.Routes[:2], 0
			b.gateway.index.Store(catalog.NewIndex(set))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if c.path == "" {
					c.path = "/stream/"
				}
				if c.begin == 0 {
					c.begin = silenceBegin
				}
				from := time.Now().Add(c.begin)
				heads := map[string]answerFunc{}
				for i := range c.sound {
					heads[fmt.Sprint("head", i)] = silentBetween(from, from.Add(silence))
				}
				for i := 0; c.others != nil && i < 2; i++ {
					heads[fmt.Sprint("headother", i)] = c.others
				}
				b := newHarness(t, heads)
				b.removeColdBound(b.gateway)
				if c.prepare != nil {
					c.prepare(b)
				}
				b.suspendOthers(true)
				var sent sync.WaitGroup
				for i := range c.streams {
					sent.Go(func() {
						w := b.send("POST", c.path+fmt.Sprint(i), "prompt", nil)
						if w.status == http.StatusServiceUnavailable && w.header.Get("Retry-After") != "" {
							return
						}
						if w.status != http.StatusOK || w.cut || w.body.String() != events10() {
							t.Errorf("stream %d: answered %d, cut %v, body %q", i, w.status, w.cut, w.body.String())
						}
					})
				}
				time.Sleep(silenceBegin / 2)
				b.suspendOthers(false)
				if time.Sleep(silence / 2); c.during != nil {
					c.during(b)
				}
				sent.Wait()
				time.Sleep(2 * time.Minute) // let the heads end
			})
		})
	}
}

// removeColdBound puts a document in force whose upstreams need no warm-up.
func (b *harness) removeColdBound(gateways ...*Gateway) {
	set := testSet()
	set.Services[1].WarmupPerSecond = 0
	for _, g := range gateways {
		g.index.Store(catalog.NewIndex(set))
	}
}

// suspendOthers keeps requests off the heads that do not fall silent.
func (b *harness) suspendOthers(suspended bool) {
	b.gateway.balancer.mu.Lock()
	defer b.gateway.balancer.mu.Unlock()
	for id, t := range b.gateway.balancer.targets {
		if len(id) > len("head0") {
			t.Cordoned = suspended
		}
	}
}

// TestSilentStreamWithoutRoomAtItsPlacerIsKept: only the entry host that places the model's requests
// knows that no other head has room.
func TestSilentStreamWithoutRoomAtItsPlacerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(silenceBegin)
		b := newPlacerHarness(t, 2, map[string]answerFunc{
			"head1": silentBetween(from, from.Add(silence)), "head2": silentBetween(from, from.Add(silence)),
		})
		b.removeColdBound(b.gateways...)
		time.AfterFunc(silenceBegin/2, func() {
			b.gateway.balancer.mu.Lock()
			defer b.gateway.balancer.mu.Unlock()
			for _, t := range b.gateway.balancer.targets {
				t.others = 50
			}
		})
		w := b.sendTo(b.gateways[1], "POST", "/stream/1", "prompt", nil)
		if w.status != http.StatusOK || w.cut || w.body.String() != events10() {
			t.Errorf("answered %d, cut %v, body %q", w.status, w.cut, w.body.String())
		}
	})
}

// TestStreamOfALostHeadUsesTheLastAttemptOfItsRoute: the limit of attempts counts the silent one once.
func TestStreamOfALostHeadUsesTheLastAttemptOfItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := streamFrom(10, 4, "s", func(net.Conn) { time.Sleep(time.Minute) })
		b := newHarness(t, map[string]answerFunc{"head1": lost, "head2": streamFrom(10, 10, "s", nil)})
		b.removeColdBound(b.gateway)
		b.gateway.balancer.targets["head2"].others = 4
		w := b.send("POST", "/twice/1", "prompt", nil)
		if w.status != http.StatusOK || w.cut || w.body.String() != events10() {
			t.Errorf("answered %d, cut %v, body %q", w.status, w.cut, w.body.String())
		}
		if n := len(b.requests["head1"]); n != 1 {
			t.Errorf("%d requests at the lost head", n)
		}
		time.Sleep(2 * time.Minute) // let the head end
	})
}

// TestSilentStandbyIsHeldAgainstTheRequest: a request that silences each head must become known for
// it although its attempts last until its deadline.
func TestSilentStandbyIsHeldAgainstTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
		b := newHarness(t, map[string]answerFunc{"head1": silent, "head2": silent, "head3": silent})
		b.removeColdBound(b.gateway)
		b.send("POST", "/twice/1", "prompt", nil)
		for f, crashes := range b.gateway.guard.OwnCrashes(b.gateway.now()) {
			if len(crashes) != 2 {
				t.Errorf("%s: silenced 2 heads, %d are known", f, len(crashes))
			}
		}
		if !b.gateway.guard.Watches() {
			t.Error("no silence is known")
		}
		time.Sleep(2 * time.Minute) // let the heads end
	})
}
