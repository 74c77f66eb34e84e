package gates

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// answerTokens is the length of the answers that faults strike.
const answerTokens = 20

// two starts a world of two warm groups and gates.
func two(o proxy.Options) (*world, error) {
	w := newWorld(permit.Options{})
	w.limits.ColdInFlight = w.limits.MaxInFlight
	w.startGates(2, o)
	for i := range 2 {
		if err := w.publishGroup(w.startHost(hostOf(i), warmModel()), groupOf(i), domainOf(i)); err != nil {
			w.close()
			return nil, err
		}
	}
	time.Sleep(time.Second)
	return w, nil
}

// cutPoints are bytes into an event, or from its end: within its identifier,
// its lines, between them, and at its very end.
var cutPoints = []int{0, 1, 3, 4, 10, -200, -40, -3, -2, -1}

// cutEvents are events after which an answer of answerTokens is cut: tokens,
// the finish and the end marker.
var cutEvents = []int{0, 1, answerTokens / 2, answerTokens - 1, answerTokens, answerTokens + 1}

// truncated cuts answers at every class of byte boundary.
func truncated(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := two(o)
		if err != nil {
			return err
		}
		defer w.close()
		r := random(seed)
		for _, event := range cutEvents {
			for _, point := range cutPoints {
				f := engine.Fault{Kind: engine.FaultTruncate, AfterTokens: event, AfterBytes: point}
				if err := w.struck(f, r.IntN(2) == 0); err != nil {
					return eris.Wrapf(err, "cut %d bytes into event %d", point, event)
				}
			}
		}
		return nil
	}
}

// struck asks with a fault on every engine; the answer must come whole.
func (w *world) struck(f engine.Fault, streaming bool) error {
	for _, h := range w.hosts {
		h.engine.SetFault(f)
	}
	l := w.newLoad()
	l.ask(0, w.gates[0], question{organisation: "boia", tokens: answerTokens, streaming: streaming})
	if err := l.wait(); err != nil {
		return err
	}
	for _, h := range w.hosts {
		h.engine.SetFault(engine.Fault{Kind: engine.FaultClear})
	}
	return l.allWhole()
}

// disordered repeats, swaps and mixes events.
func disordered(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := two(o)
		if err != nil {
			return err
		}
		defer w.close()
		r := random(seed)
		for _, kind := range []engine.FaultKind{engine.FaultDuplicate, engine.FaultReorder, engine.FaultStale, engine.FaultReset} {
			for range 5 {
				f := engine.Fault{Kind: kind, AfterTokens: 1 + r.IntN(answerTokens-1)}
				if err := w.struck(f, r.IntN(2) == 0); err != nil {
					return eris.Wrapf(err, "%s after %d tokens", kind, f.AfterTokens)
				}
			}
		}
		return nil
	}
}

// dies ends an engine's process in the middle of answers.
func dies(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := two(o)
		if err != nil {
			return err
		}
		defer w.close()
		r, l := random(seed), w.newLoad()
		w.hosts[0].engine.SetFault(engine.Fault{Kind: engine.FaultCrash, AfterTokens: 1 + r.IntN(answerTokens)})
		for i := range 12 {
			l.ask(upTo(r, 200*time.Millisecond), w.gates[i%2], question{organisation: "boia", tokens: answerTokens, streaming: i%2 == 0})
		}
		if err := l.wait(); err != nil {
			return err
		}
		return l.allWhole()
	}
}

// silentLimit is the longest that one request may be delayed by connections
// that went silent: the stall time and two probes.
const silentLimit = 5 * time.Second

// silent lets all connections to the engines go silent, new ones work: while
// they are idle or in the middle of answers.
func silent(idle bool, o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		for _, d := range []direction{bothWays, toServer, toClient} {
			if err := silentOnce(seed, d, idle, o); err != nil {
				return err
			}
		}
		return nil
	}
}

func silentOnce(seed uint64, d direction, idle bool, o proxy.Options) error {
	w, err := two(o)
	if err != nil {
		return err
	}
	defer w.close()
	r, l := random(seed), w.newLoad()
	for i := range 8 {
		l.ask(0, w.gates[i%2], question{organisation: "boia", tokens: 100, streaming: i%4 < 2})
	}
	after := upTo(r, time.Second)
	if idle {
		after += 3 * time.Second
	}
	time.Sleep(after)
	for _, h := range w.hosts {
		w.network.silence(h.address, d)
	}
	for i := range 8 {
		l.ask(0, w.gates[i%2], question{organisation: "boia", tokens: 100, streaming: i%4 < 2})
	}
	if err := l.wait(); err != nil {
		return err
	}
	if err := l.allWhole(); err != nil {
		return err
	}
	return w.checkBlameless(l)
}

// checkBlameless checks that no request was late and no target was blamed.
func (w *world) checkBlameless(l *load) error {
	for i, r := range l.replies {
		if r.elapsed > silentLimit {
			return eris.Errorf("%q took %s", l.asked[i].prompt, r.elapsed)
		}
	}
	for i := range w.hosts {
		id := groupOf(i)
		if falls := w.keeper.share(id).ColdResets; falls > 0 {
			return eris.Errorf("%s was taken back to its cold bound", id)
		}
	}
	for _, g := range w.gates {
		if g.crashes.Load() > 0 {
			return eris.Errorf("%s reported a crash", g.self.Name)
		}
	}
	return nil
}

// peerDies ends the gate that a request was handed over to.
func peerDies(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{})
		defer w.close()
		w.startGates(3, o)
		for i := range 3 {
			if err := w.publishGroup(w.startHost(hostOf(i), fastModel()), groupOf(i), domainOf(i)); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		r, l := random(seed), w.newLoad()
		dying := w.holder("assistant-1")
		for i := range 12 {
			if g := w.gates[i%3]; g != dying {
				l.ask(upTo(r, 100*time.Millisecond), g, question{organisation: "boia", tokens: 100, streaming: i%2 == 0, deadline: 30 * time.Second})
			}
		}
		time.Sleep(100*time.Millisecond + upTo(r, 900*time.Millisecond))
		dying.kill()
		if err := l.wait(); err != nil {
			return err
		}
		return l.allWhole()
	}
}
