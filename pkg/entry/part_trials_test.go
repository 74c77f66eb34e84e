package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestPartIsBoundedAtAnyRate plays a part that crashes upstreams from its first run on undisturbed
// fleets, at different rates and times until the crash.
func TestPartIsBoundedAtAnyRate(t *testing.T) {
	for seed := *crashFirst; seed < *crashFirst+*crashSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 4))
				f := newTestFleet(t, seed, fleetSize{entries: 2 + r.IntN(8), plain: 2, engines: 4 + r.IntN(14)})
				f.prefill = time.Duration(20+r.IntN(800)) * time.Millisecond
				p := &partPlay{fleet: f, bad: "bad0", long: r.IntN(2) == 0}
				if r.IntN(3) == 0 {
					p.companion = "dd"
				}
				p.play(r.IntN(8), false, nil)
				p.began = time.Now()
				soundInterval, badInterval := time.Duration(20+r.IntN(200))*time.Millisecond, time.Duration(50+r.IntN(1500))*time.Millisecond
				t.Logf("entries %d, engines %d, prefill %v, sound each %v, bad each %v, long %v, companion %v", len(f.entries), len(f.hosts)-2, f.prefill, soundInterval, badInterval, p.long, p.companion)
				nextSound, nextBad := time.Now(), time.Now()
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if now := time.Now(); !now.Before(nextSound) {
						p.sendSound()
						nextSound = now.Add(soundInterval)
					}
					if now := time.Now(); !now.Before(nextBad) {
						p.sendBad()
						nextBad = now.Add(badInterval)
					}
				}
				p.assert()
			})
		})
	}
}
