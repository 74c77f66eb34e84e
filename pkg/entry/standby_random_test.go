package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// standbySeeds is the number of random days of TestStreamsKeepTheirOrderOnRandomDays.
const standbySeeds = 300

// standbyDay is a random day of streams whose heads are silent, break off and refuse.
type standbyDay struct {
	seed uint64

	mu       sync.Mutex
	arrivals map[string]int  // by attempt ID
	runs     map[string]int  // of them those that began to run
	sound    map[string]bool // attempts with a run that would have gone on to its end
}

// random returns the random source of one thing of the day. It does not depend on the order of
// events.
func (d *standbyDay) random(what string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, what)
	return rand.New(rand.NewPCG(d.seed, h.Sum64()))
}

// headPlan is how a head treats one request.
type headPlan struct {
	kind     int // see answer
	at       int // event at which something happens
	silence  time.Duration
	unframed bool
}

// answer plays a head.
func (d *standbyDay) answer(c net.Conn, r *http.Request, attempt string) bool {
	d.mu.Lock()
	d.arrivals[attempt]++
	random := d.random(fmt.Sprint(attempt, "/", d.arrivals[attempt]))
	d.mu.Unlock()
	p := headPlan{kind: random.IntN(16), at: random.IntN(10) + 1, unframed: random.IntN(4) == 0}
	if random.IntN(2) == 0 {
		p.silence = time.Duration(random.IntN(1600)) * time.Millisecond
	}
	if p.kind == 0 {
		time.Sleep(p.silence)
		return fixedAnswer(503, "X-Not-Run: 1\r\n", "full")(c, r, attempt)
	}
	d.mu.Lock()
	d.runs[attempt]++
	d.sound[attempt] = d.sound[attempt] || p.kind >= 8
	d.mu.Unlock()
	switch p.kind {
	case 1:
		time.Sleep(p.silence)
		return fixedAnswer(500, "X-Sig: s\r\n", "oops")(c, r, attempt)
	case 2:
		return cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nContent-Length: 30\r\n\r\nid: 7\ndata: forged\n\n")(c, r, attempt)
	case 3:
		return cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: other%.0s\r\nX-Sig: s\r\n\r\nid: 7\ndata: other\n\n")(c, r, attempt)
	}
	return p.stream(c, r, attempt)
}

// stream sends events and breaks off as planned.
func (p headPlan) stream(c net.Conn, r *http.Request, attempt string) bool {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	head := "HTTP/1.1 200 OK\r\nX-Attempt: " + attempt + "\r\nX-Sig: s\r\n"
	if !p.unframed || p.kind < 8 {
		head += "Transfer-Encoding: chunked\r\n"
		p.unframed = false
	}
	if p.at == 1 {
		time.Sleep(p.silence)
	}
	_, _ = io.WriteString(c, head+"\r\n")
	for i := from + 1; i <= 10; i++ {
		time.Sleep(20 * time.Millisecond)
		if i == p.at {
			time.Sleep(p.silence)
		}
		event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		switch {
		case p.kind == 4 && i >= p.at:
			return false
		case p.kind == 5 && i >= p.at:
			_ = p.write(c, event[:7])
			return false
		case p.kind == 6 && i >= p.at:
			_ = p.write(c, event[:7])
			time.Sleep(time.Minute)
			return false
		case p.kind == 7 && i >= p.at:
			time.Sleep(time.Minute)
			return false
		case p.kind == 8:
			if p.write(c, event[:5]) != nil {
				return false
			}
			time.Sleep(p.silence / 4)
			event = event[5:]
		}
		if p.write(c, event) != nil {
			return false
		}
	}
	if p.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (p headPlan) write(c net.Conn, text string) error {
	if !p.unframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(c, text)
	return err
}

// client sends one stream and checks what its client gets.
func (d *standbyDay) client(t *testing.T, b *harness, attempt string) {
	random := d.random("client " + attempt)
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	route, most := "/stream/", 3
	if random.IntN(2) == 0 {
		route, most = "/twice/", 2
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	left := random.IntN(5) == 0
	if left {
		time.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, leave)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example"+route+attempt, strings.NewReader(attempt))
	if err != nil {
		t.Error(err)
		return
	}
	r.RequestURI, r.Host = route+attempt, "shop.example"
	for k, v := range map[string]string{testHeaders.Attempt: attempt, testHeaders.Deadline: "3000", "Authorization": "Bearer key-1", testHeaders.Model: "m", testHeaders.TokenCounts: "100,50"} {
		r.Header.Set(k, v)
	}
	w := serveRecorded(b.gateway, r)
	body := w.body.String()
	switch {
	case w.status == http.StatusOK && !w.cut && body != events10():
		t.Errorf("seed %d, %s: ended as complete with %q", d.seed, attempt, body)
	case w.status == http.StatusOK && (!strings.HasPrefix(events10(), body) || body != "" && !strings.HasSuffix(body, "\n\n")):
		t.Errorf("seed %d, %s: events are not in order: %q", d.seed, attempt, body)
	case w.status == 0 && !left:
		t.Errorf("seed %d, %s: no answer", d.seed, attempt)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs[attempt] > most {
		t.Errorf("seed %d, %s: ran %d times, the route allows %d", d.seed, attempt, d.runs[attempt], most)
	}
	if d.sound[attempt] && !left && (w.cut || w.status != http.StatusOK) {
		t.Logf("seed %d, %s: lost beside a run that goes on: %d, cut %v, %d events", d.seed, attempt, w.status, w.cut, strings.Count(body, "\n\n"))
	}
}

// assertNothingCounted checks that no ended request is still counted at an upstream.
func (b *harness) assertNothingCounted(what string) {
	b.gateway.balancer.mu.Lock()
	defer b.gateway.balancer.mu.Unlock()
	for id, t := range b.gateway.balancer.targets {
		if t.own != (requestCounts{}) || t.hosted != (requestCounts{}) || t.remotelyCounted != (requestCounts{}) {
			b.t.Errorf("%s: %s still counts %+v", what, id, t.own)
		}
	}
}

// TestStreamsKeepTheirOrderOnRandomDays: standbys must not join, double or lose events, exceed the
// route's attempts or leave anything behind.
func TestStreamsKeepTheirOrderOnRandomDays(t *testing.T) {
	for seed := range uint64(standbySeeds) {
		synctest.Test(t, func(t *testing.T) {
			d := &standbyDay{seed: seed, arrivals: map[string]int{}, runs: map[string]int{}, sound: map[string]bool{}}
			random := d.random("day")
			heads := map[string]answerFunc{}
			for i := range 2 + random.IntN(4) {
				heads[fmt.Sprint("head", i)] = d.answer
			}
			b := newHarness(t, heads)
			b.removeColdBound(b.gateway)
			var work sync.WaitGroup
			for i := range 1 + random.IntN(12) {
				work.Go(func() { d.client(t, b, fmt.Sprintf("a-%d-%d", seed, i)) })
			}
			work.Wait()
			time.Sleep(2 * time.Minute) // let the heads and the standbys end
			b.assertNothingCounted(fmt.Sprint("seed ", seed))
		})
	}
}
