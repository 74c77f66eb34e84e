package once

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// sendInnocent sends a random innocent request now and then. Some requests are sent
// more often than others.
func (w *crashWorld) sendInnocent(g *crashGate) {
	if g.dead || w.rand.IntN(3) > 0 {
		return
	}
	n := min(w.rand.IntN(innocentCount), w.rand.IntN(innocentCount))
	f := view.Fingerprint(fmt.Sprintf("innocent-%d", n))
	if !w.send(g, f, 1+w.rand.IntN(maxInnocentTicks)) {
		w.result.Delayed++
	}
}

// sendBadCopies keeps copies of a bad request in flight, each through another gate.
func (w *crashWorld) sendBadCopies(f view.Fingerprint) {
	if w.now%badRetryTicks != 0 {
		return
	}
	inFlight := 0
	for _, r := range w.runs {
		if r.bad == f {
			inFlight++
		}
	}
	for range w.plan.Copies - inFlight {
		g := w.gates[w.nextBad%len(w.gates)]
		w.nextBad++
		if !g.dead {
			w.sendBad(g, f)
		}
	}
}

func (w *crashWorld) sendBad(g *crashGate, f view.Fingerprint) {
	trials := w.result.Trials
	if !w.send(g, f, badRequestTicks) {
		if g.guard.Check(w.time(), f).Kind == suspect.Refused {
			w.result.Refused++
		}
		return
	}
	if w.result.Trials == trials {
		w.result.SentBeforeTrial++
	}
}

// send starts a request at a gate, or at the gate that runs the request's trial. It
// reports whether the request started.
func (w *crashWorld) send(g *crashGate, f view.Fingerprint, ticks int) bool {
	if !w.plan.NoGuard {
		v := g.guard.Check(w.time(), f)
		if v.Kind == suspect.TrialElsewhere {
			g = w.gate(v.Gate)
		}
		if g == nil || g.dead {
			return false
		}
	}
	for _, n := range w.rand.Perm(len(w.upstreams)) {
		u := w.upstreams[n]
		if u.downTo > w.now {
			continue
		}
		r, ok := w.start(g, f, u)
		if !ok {
			continue
		}
		x := &crashRun{gate: g, run: r, upstream: u, incarnation: u.incarnation, endAt: w.now + ticks}
		if isBad(f) {
			x.bad = f
		}
		if r.Trial() && isBad(f) {
			w.result.Trials++
		}
		w.runs = append(w.runs, x)
		return true
	}
	return false
}

// start starts a run under the gate's guard or, with NoGuard, under one that knows no
// quarantine.
func (w *crashWorld) start(g *crashGate, f view.Fingerprint, u *crashUpstream) (*suspect.Run, bool) {
	guard := g.guard
	if w.plan.NoGuard {
		empty := view.New()
		guard = suspect.NewGuard(g.name, func() *view.View { return empty })
	}
	return guard.Start(w.time(), f, "o", u.name, u.incarnation)
}

func (w *crashWorld) gate(name view.GateName) *crashGate {
	for _, g := range w.gates {
		if g.name == name {
			return g
		}
	}
	return nil
}
