package gates

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// chaos lets faults of all kinds happen at random moments and checks every
// caller's reply.
func chaos(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{MaxRequestTime: 10 * time.Second})
		defer w.close()
		w.limits.ColdInFlight = w.limits.MaxInFlight / 2
		w.startGates(4, o)
		for i := range chaosGroups {
			if err := w.publishGroup(w.startHost(hostOf(i), warmModel()), groupOf(i), domainOf(i)); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		r, l := random(seed), w.newLoad()
		for range 30 {
			for range 12 {
				l.ask(upTo(r, 500*time.Millisecond), w.gates[r.IntN(4)], question{organisation: "boia", tokens: 5 + r.IntN(60), streaming: r.IntN(2) == 0, deadline: time.Second + upTo(r, 9*time.Second)})
			}
			w.spoil(r)
			if err := w.mishap(r); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
		}
		if err := l.wait(); err != nil {
			return err
		}
		if l.whole() == 0 {
			return eris.New("no request was answered")
		}
		return nil
	}
}

// answerFaults are those that strike single answers.
var answerFaults = []engine.FaultKind{
	engine.FaultTruncate, engine.FaultReset, engine.FaultSilent, engine.FaultDuplicate, engine.FaultReorder, engine.FaultStale,
}

// spoil lets a random engine's next answers go wrong.
func (w *world) spoil(r *rand.Rand) {
	h := w.latest(r.IntN(chaosGroups))
	kind := answerFaults[r.IntN(len(answerFaults))]
	h.engine.SetFault(engine.Fault{Kind: kind, AfterTokens: r.IntN(20), AfterBytes: r.IntN(100), Count: 1 + r.IntN(3)})
}

const chaosGroups = 3

// latest is the process that was last started for group i.
func (w *world) latest(i int) *host {
	for n := len(w.hosts) - 1; n >= 0; n-- {
		if w.hosts[n].name == hostOf(i) {
			return w.hosts[n]
		}
	}
	return nil
}

// mishap lets one random thing go wrong, and half of the dead hosts return.
func (w *world) mishap(r *rand.Rand) error {
	for i := range chaosGroups {
		if !w.latest(i).dead.Load() || r.IntN(2) == 0 {
			continue
		}
		if err := w.publishGroup(w.startHost(hostOf(i), warmModel()), groupOf(i), domainOf(i)); err != nil {
			return err
		}
	}
	i := r.IntN(chaosGroups)
	h, g := w.latest(i), w.gates[r.IntN(len(w.gates))]
	switch r.IntN(8) {
	case 0:
		h.kill()
	case 1:
		w.network.silence(h.address, direction(r.IntN(3)))
	case 2:
		w.network.silence(g.self.PeerAddress, direction(r.IntN(3)))
	case 3:
		g.cut.Store(!g.cut.Load())
	case 4:
		w.keeper.drain(r.IntN(2) == 0, groupOf(i))
	case 5:
		h.engine.SetFault(engine.Fault{Kind: engine.FaultCrash, AfterTokens: r.IntN(20)})
	case 6:
		h.engine.SetFault(engine.Fault{Kind: engine.FaultPause, Millis: r.Int64N(4000)})
	case 7:
		g.pause(upTo(r, 5*time.Second))
	}
	return nil
}
