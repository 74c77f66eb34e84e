package entry

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomParts adds requests with bad parts to a random day. It has its own random source, so that the
// rest of the day depends on the seed as it did without it.
type randomParts struct {
	fleet *testFleet
	rand  *rand.Rand
	sound *partPlay // sends the sound requests
	bad   []*partPlay
	rate  int // requests with each bad part in 20 ticks
}

func newRandomParts(f *testFleet, seed uint64) *randomParts {
	r := rand.New(rand.NewPCG(seed, 3))
	p := &randomParts{fleet: f, rand: r, sound: &partPlay{fleet: f, long: r.IntN(2) == 0}, rate: 1 + r.IntN(20)}
	f.prefill = time.Duration(30+r.IntN(700)) * time.Millisecond
	for i := range 1 + r.IntN(2) {
		play := &partPlay{fleet: f, bad: fmt.Sprint(badPart, i)}
		if r.IntN(3) == 0 {
			play.companion = fmt.Sprint("dd", i)
		}
		p.bad = append(p.bad, play)
	}
	return p
}

// tick sends what one tick of the day brings.
func (p *randomParts) tick() {
	p.sound.sendSound()
	for _, play := range p.bad {
		if p.rand.IntN(20) < p.rate {
			play.sendBad()
		}
	}
}

// finish waits until the disturbances are over and checks the bounds, and that sound requests begin
// at least half as often as without disturbance although bad ones still come.
func (p *randomParts) finish() {
	time.Sleep(10 * time.Second)
	calm := time.Now()
	for range 100 {
		p.tick()
		time.Sleep(100 * time.Millisecond)
	}
	p.sound.work.Wait()
	for _, play := range p.bad {
		play.work.Wait()
		if len(p.fleet.partCrashes[play.bad]) > 0 {
			play.assertPartBounded()
		}
	}
	sent, began := 0, 0
	for _, a := range p.sound.sound {
		if a.at.After(calm) {
			sent++
			if a.began {
				began++
			}
		}
	}
	p.fleet.t.Logf("%d of %d sound requests began after the disturbances", began, sent)
	if 2*began < sent {
		p.fleet.t.Errorf("%d of %d sound requests began after the disturbances", began, sent)
	}
}
