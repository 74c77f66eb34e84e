package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestStandbysThatAreNotSentAreNoStartsOfAColdHead: placements that the budget did not allow took the
// cold bound from requests that are sent.
func TestStandbysThatAreNotSentAreNoStartsOfAColdHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(silenceBegin)
		b := newHarness(t, map[string]answerFunc{
			"head1": silentBetween(from, from.Add(silence)), "headother": streamFrom(10, 10, "s", nil),
		})
		b.suspendOthers(true)
		b.gateway.budget = newRetryBudget(0, 0)
		done := make(chan struct{})
		for i := range 4 {
			go func() { b.send("POST", fmt.Sprint("/stream/", i), "prompt", nil); done <- struct{}{} }()
		}
		time.Sleep(silenceBegin)
		b.suspendOthers(false)
		time.Sleep(silence * 3 / 4)
		b.gateway.balancer.mu.Lock()
		if n := b.gateway.balancer.targets["headother"].startsInLastSecond(b.gateway.now()); n != 0 {
			t.Errorf("%d starts are counted, none was sent", n)
		}
		b.gateway.balancer.mu.Unlock()
		for range 4 {
			<-done
		}
	})
}

// TestStandbysDoNotShortenTheQueues: looking for a standby at full heads made their queues short for
// new requests.
func TestStandbysDoNotShortenTheQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(-time.Millisecond)
		b := newHarness(t, map[string]answerFunc{
			"head1": silentBetween(from, from.Add(silence)), "headother": streamFrom(10, 10, "s", nil),
		})
		b.removeColdBound(b.gateway)
		b.suspendOthers(true)
		b.gateway.applyPlacers(map[string]string{"m": "e1:9"})
		done := make(chan struct{})
		go func() { b.send("POST", "/stream/1", "prompt", nil); close(done) }()
		time.Sleep(silenceBegin)
		b.suspendOthers(false)
		b.gateway.balancer.mu.Lock()
		b.gateway.balancer.targets["headother"].others = 50
		b.gateway.balancer.mu.Unlock()
		time.Sleep(silence - silenceBegin - 50*time.Millisecond)
		b.gateway.balancer.mu.Lock()
		if at, ever := b.gateway.balancer.lastFull["m"]; ever {
			t.Errorf("counted as a rejection at %v although no request was refused", at)
		}
		b.gateway.balancer.mu.Unlock()
		<-done
	})
}
