package gates

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// answerTokens is the length of the answers into which faults are injected.
const answerTokens = 20

// newWarmWorld starts a world with two gates and two groups that are not cold.
func newWarmWorld(o proxy.Options) (*world, error) {
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

// cutOffsets holds offsets in bytes from the start of an event or, if negative, from its
// end: within its identifier, within its lines, between them, and at its end.
var cutOffsets = []int{0, 1, 3, 4, 10, -200, -40, -3, -2, -1}

// cutEvents holds the events after which an answer of answerTokens is cut: tokens, the
// finish and the end marker.
var cutEvents = []int{0, 1, answerTokens / 2, answerTokens - 1, answerTokens, answerTokens + 1}

// truncatedAnswers truncates answers at every class of byte boundary.
func truncatedAnswers(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := newWarmWorld(o)
		if err != nil {
			return err
		}
		defer w.close()
		r := random(seed)
		for _, event := range cutEvents {
			for _, point := range cutOffsets {
				f := engine.Fault{Kind: engine.FaultTruncate, AfterTokens: event, AfterBytes: point}
				if err := w.checkAnswerWithFault(f, r.IntN(2) == 0); err != nil {
					return eris.Wrapf(err, "answer cut %d bytes into event %d", point, event)
				}
			}
		}
		return nil
	}
}

// checkAnswerWithFault sends a request while every engine has a fault. The answer must be
// complete.
func (w *world) checkAnswerWithFault(f engine.Fault, streaming bool) error {
	for _, h := range w.hosts {
		h.engine.SetFault(f)
	}
	l := w.newLoad()
	l.ask(0, w.gates[0], request{organisation: "boia", tokens: answerTokens, streaming: streaming})
	if err := l.wait(); err != nil {
		return err
	}
	for _, h := range w.hosts {
		h.engine.SetFault(engine.Fault{Kind: engine.FaultClear})
	}
	return l.checkAllComplete()
}

// reorderedEvents repeats, swaps and mixes up events.
func reorderedEvents(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := newWarmWorld(o)
		if err != nil {
			return err
		}
		defer w.close()
		r := random(seed)
		for _, kind := range []engine.FaultKind{engine.FaultDuplicate, engine.FaultReorder, engine.FaultStale, engine.FaultReset} {
			for range 5 {
				f := engine.Fault{Kind: kind, AfterTokens: 1 + r.IntN(answerTokens-1)}
				if err := w.checkAnswerWithFault(f, r.IntN(2) == 0); err != nil {
					return eris.Wrapf(err, "fault %s after %d tokens", kind, f.AfterTokens)
				}
			}
		}
		return nil
	}
}

// engineDies kills an engine in the middle of answers.
func engineDies(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w, err := newWarmWorld(o)
		if err != nil {
			return err
		}
		defer w.close()
		r, l := random(seed), w.newLoad()
		w.hosts[0].engine.SetFault(engine.Fault{Kind: engine.FaultCrash, AfterTokens: 1 + r.IntN(answerTokens)})
		for i := range 12 {
			l.ask(randomBelow(r, 200*time.Millisecond), w.gates[i%2], request{organisation: "boia", tokens: answerTokens, streaming: i%2 == 0})
		}
		if err := l.wait(); err != nil {
			return err
		}
		return l.checkAllComplete()
	}
}

// maxSilentDelay is the maximum time of a request whose connection went silent. It
// covers the stall time and two probes.
const maxSilentDelay = 5 * time.Second

// silentConnections makes all connections to the engines silent, while they are idle or
// in the middle of answers. New connections work.
func silentConnections(idle bool, o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		for _, d := range []direction{bothWays, toServer, toClient} {
			if err := runSilentConnections(seed, d, idle, o); err != nil {
				return err
			}
		}
		return nil
	}
}

func runSilentConnections(seed uint64, d direction, idle bool, o proxy.Options) error {
	w, err := newWarmWorld(o)
	if err != nil {
		return err
	}
	defer w.close()
	r, l := random(seed), w.newLoad()
	for i := range 8 {
		l.ask(0, w.gates[i%2], request{organisation: "boia", tokens: 100, streaming: i%4 < 2})
	}
	after := randomBelow(r, time.Second)
	if idle {
		after += 3 * time.Second
	}
	time.Sleep(after)
	for _, h := range w.hosts {
		w.network.silence(h.address, d)
	}
	for i := range 8 {
		l.ask(0, w.gates[i%2], request{organisation: "boia", tokens: 100, streaming: i%4 < 2})
	}
	if err := l.wait(); err != nil {
		return err
	}
	if err := l.checkAllComplete(); err != nil {
		return err
	}
	return w.checkNoTargetBlamed(l)
}

// checkNoTargetBlamed checks that no request was late, no target was reset to its cold
// bound and no gate reported a crash.
func (w *world) checkNoTargetBlamed(l *load) error {
	for i, r := range l.replies {
		if r.elapsed > maxSilentDelay {
			return eris.Errorf("request %q took %s, more than the limit", l.requests[i].prompt, r.elapsed)
		}
	}
	for i := range w.hosts {
		id := groupOf(i)
		if resets := w.keeper.share(id).ColdResets; resets > 0 {
			return eris.Errorf("group %s was reset to its cold bound", id)
		}
	}
	for _, g := range w.gates {
		if g.crashes.Load() > 0 {
			return eris.Errorf("gate %s reported a crash", g.self.Name)
		}
	}
	return nil
}

// peerDies kills the gate to which requests were handed over.
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
				l.ask(randomBelow(r, 100*time.Millisecond), g, request{organisation: "boia", tokens: 100, streaming: i%2 == 0, deadline: 30 * time.Second})
			}
		}
		time.Sleep(100*time.Millisecond + randomBelow(r, 900*time.Millisecond))
		dying.kill()
		if err := l.wait(); err != nil {
			return err
		}
		return l.checkAllComplete()
	}
}
