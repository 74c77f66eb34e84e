package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// maxInPause is the number of requests that an upstream may get from an entry host in a pause that it
// asked for.
const maxInPause = 2

// pausePlay sends requests while upstreams ask for pauses.
type pausePlay struct {
	*testFleet
	work sync.WaitGroup

	mu           sync.Mutex
	sent, served int
	slowRefusals int
	hastyReturns int // refused without a time to come back
}

// pauseShare makes a share of the upstreams ask for pauses, or ends that with an empty pause.
func (p *pausePlay) pauseShare(share float64, pause string, proves bool) {
	for i, h := range p.hosts {
		if float64(i%8) < share*8 {
			h.mu.Lock()
			h.pause, h.proves = pause, proves
			h.mu.Unlock()
		}
	}
}

// send sends 50 requests a second in all.
func (p *pausePlay) send(kinds []string, long time.Duration) {
	for n := range int(long / (20 * time.Millisecond)) {
		entry := p.randomEntry()
		p.work.Go(func() {
			began := time.Now()
			w := p.testFleet.send(entry, clientRequest{kind: kinds[n%len(kinds)], body: fmt.Sprint("pause ", began.UnixNano())})
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sent++
			switch {
			case w.status == http.StatusOK && !w.cut:
				p.served++
			case w.status == http.StatusServiceUnavailable:
				if time.Since(began) > 300*time.Millisecond {
					p.slowRefusals++
				}
				if w.header.Get("Retry-After") == "" {
					p.hastyReturns++
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *pausePlay) assertPausesKept() {
	p.t.Helper()
	p.work.Wait()
	most := 0
	for _, h := range p.hosts {
		most = max(most, h.notices.mostInPause())
	}
	p.t.Logf("%d of %d served, at most %d requests in a pause", p.served, p.sent, most)
	if most > maxInPause {
		p.t.Errorf("%d requests in one pause", most)
	}
	if p.slowRefusals+p.hastyReturns > 0 {
		p.t.Errorf("%d refusals were slow, %d without a time to come back", p.slowRefusals, p.hastyReturns)
	}
}

func TestUpstreamsGetNoRequestsInThePauseThatTheyAskFor(t *testing.T) {
	for _, kinds := range [][]string{{"once"}, {"again"}, {"stream"}, {"once", "again", "stream"}} {
		for _, pause := range []string{"0.8", "2", "3.5", "30"} {
			for _, share := range []float64{0.5, 1} {
				for _, proves := range []bool{true, false} {
					t.Run(fmt.Sprintf("%v asks %s, %v of all, proof %v", kinds, pause, share, proves), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							p := &pausePlay{testFleet: newTestFleet(t, 6, fleetSize{entries: 4, plain: 8, engines: 8})}
							p.send(kinds, time.Second)
							p.pauseShare(share, pause, proves)
							p.send(kinds, 6*time.Second)
							p.pauseShare(share, "", false)
							p.send(kinds, 4*time.Second)
							p.assertPausesKept()
							if share < 1 && proves && p.served*10 < p.sent*9 {
								t.Errorf("%d of %d served though half of the upstreams take requests", p.served, p.sent)
							}
						})
					})
				}
			}
		}
	}
}

func TestUpstreamThatSaysThatItLeavesGetsNoNewRequests(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausePlay{testFleet: newTestFleet(t, 7, fleetSize{entries: 4, plain: 8, engines: 8})}
				p.send([]string{kind}, time.Second)
				for i, h := range p.hosts {
					h.mu.Lock()
					h.leaves = i%2 == 0
					h.mu.Unlock()
				}
				p.send([]string{kind}, 8*time.Second)
				p.work.Wait()
				for _, h := range p.hosts {
					if h.notices.late > 0 {
						t.Errorf("%s got %d requests later than %v after it had said that it leaves", h.name, h.notices.late, drainTime)
					}
				}
				if p.served < p.sent {
					t.Errorf("%d of %d served", p.served, p.sent)
				}
			})
		})
	}
}
