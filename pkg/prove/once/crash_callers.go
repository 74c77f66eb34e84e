package once

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// innocents sends an innocent request now and then; some are more wanted than
// others.
func (w *crashWorld) innocents(g *crashGate) {
	if g.dead || w.rand.IntN(3) > 0 {
		return
	}
	n := min(w.rand.IntN(innocentCount), w.rand.IntN(innocentCount))
	f := view.Fingerprint(fmt.Sprintf("innocent-%d", n))
	if !w.send(g, f, 1+w.rand.IntN(innocentTicks)) {
		w.result.Delayed++
	}
}

// badCaller keeps copies of a bad request in flight, each through another
// gate.
func (w *crashWorld) badCaller(f view.Fingerprint) {
	if w.now%badRetry != 0 {
		return
	}
	flying := 0
	for _, r := range w.runs {
		if r.bad == f {
			flying++
		}
	}
	for range w.plan.Copies - flying {
		g := w.gates[w.nextBad%len(w.gates)]
		w.nextBad++
		if !g.dead {
			w.sendBad(g, f)
		}
	}
}

func (w *crashWorld) sendBad(g *crashGate, f view.Fingerprint) {
	trials := w.result.Trials
	if !w.send(g, f, crashAfter) {
		if g.guard.Check(w.time(), f).Kind == suspect.Refused {
			w.result.Refused++
		}
		return
	}
	if w.result.Trials == trials {
		w.result.SentBeforeTrial++
	}
}

// send lets a gate run a request, or hand it to the gate that runs its trial.
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
		x := &crashRun{gate: g, run: r, upstream: u, inc: u.inc, endAt: w.now + ticks}
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

// start asks the guard, or another that knows no quarantine.
func (w *crashWorld) start(g *crashGate, f view.Fingerprint, u *crashUpstream) (*suspect.Run, bool) {
	guard := g.guard
	if w.plan.NoGuard {
		empty := view.New()
		guard = suspect.NewGuard(g.name, func() *view.View { return empty })
	}
	return guard.Start(w.time(), f, "o", u.name, u.inc)
}

func (w *crashWorld) gate(name view.GateName) *crashGate {
	for _, g := range w.gates {
		if g.name == name {
			return g
		}
	}
	return nil
}
