package gates

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// errOverBound says that a target had more work than its bound.
var errOverBound = eris.New("target has more work than its bound")

const (
	manyGates = 9
	longAge   = time.Hour
)

func checkPeak(h *host, bound int) error {
	if peak := h.engine.PeakRunning(); peak > bound {
		return eris.Wrapf(errOverBound, "%s had %d requests at once, bound %d", h.name, peak, bound)
	}
	return nil
}

func (w *world) startGates(n int, o proxy.Options) {
	for i := range n {
		w.startGate(gateName("g"+string(rune('1'+i))), domainOf(i), o)
	}
}

func domainOf(i int) string { return string(rune('a' + i%3)) }

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

// nineGates lets every gate want a just-started target at once.
func nineGates(o permit.Options) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(o)
		defer w.close()
		w.limits.RampTime = longAge
		w.startGates(manyGates, proxy.Options{})
		h := w.startHost("h1", fastModel())
		if err := w.publishGroup(h, "assistant-1", "a"); err != nil {
			return err
		}
		r, l := random(seed), w.newLoad()
		for i := range 6 * manyGates {
			l.ask(upTo(r, time.Second), w.gates[i%manyGates], question{organisation: "boia", tokens: 20, streaming: i%2 == 0})
		}
		if err := l.wait(); err != nil {
			return err
		}
		if l.whole() == 0 {
			return eris.New("no request was answered")
		}
		return checkPeak(h, w.limits.ColdInFlight)
	}
}

// coldReturn restarts the process of a proven target without a word, at the
// same address, under load from nine gates.
func coldReturn(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{})
		defer w.close()
		w.limits.RampTime = time.Second
		w.startGates(manyGates, o)
		old := w.startHost("h1", fastModel())
		if err := w.publishGroup(old, "assistant-1", "a"); err != nil {
			return err
		}
		r, l := random(seed), w.newLoad()
		for i := range 300 {
			l.ask(time.Duration(i)*30*time.Millisecond+upTo(r, 30*time.Millisecond), w.gates[r.IntN(manyGates)], question{organisation: "boia", tokens: 20, streaming: i%2 == 0, deadline: 5 * time.Second})
		}
		time.Sleep(5 * time.Second)
		if w.keeper.share("assistant-1").Bound <= w.limits.ColdInFlight {
			return eris.New("the target was never proven")
		}
		old.kill()
		fresh := w.startHost("h1", fastModel())
		if err := fresh.order("assistant-1", w.epochs); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		if err := checkPeak(fresh, 0); err != nil {
			return err
		}
		w.limits.RampTime = longAge
		if err := w.publishGroup(fresh, "assistant-1", "a"); err != nil {
			return err
		}
		if err := l.wait(); err != nil {
			return err
		}
		return checkPeak(fresh, w.limits.ColdInFlight)
	}
}

// lostGate loses a gate that holds permits while its work goes on: the target
// doesn't learn that the gate is gone.
func lostGate(o permit.Options) prove.Scenario {
	return func(seed uint64) error {
		o := o
		o.MaxRequestTime = 20 * time.Second
		w := newWorld(o)
		defer w.close()
		w.limits.RampTime = longAge
		w.startGates(3, proxy.Options{})
		h := w.startHost("h1", fastModel())
		if err := w.publishGroup(h, "assistant-1", "a"); err != nil {
			return err
		}
		time.Sleep(time.Second)
		r, l := random(seed), w.newLoad()
		holder := w.holder("assistant-1")
		for range w.limits.ColdInFlight {
			l.ask(0, holder, question{organisation: "boia", tokens: 800, streaming: true, deadline: 60 * time.Second})
		}
		time.Sleep(500*time.Millisecond + upTo(r, time.Second))
		w.network.block(holder.address)
		w.network.block(holder.self.PeerAddress)
		holder.cut.Store(true)
		for i := range 40 {
			g := w.gates[i%3]
			if g == holder {
				continue
			}
			l.ask(upTo(r, 12*time.Second), g, question{organisation: "nile", tokens: 20, deadline: 40 * time.Second})
		}
		time.Sleep(60 * time.Second)
		if err := checkPeak(h, w.limits.ColdInFlight); err != nil {
			return err
		}
		holder.kill()
		return l.wait()
	}
}

// holder is the gate with the most permits on a group.
func (w *world) holder(id groupID) *gate {
	best, most := w.gates[0], 0
	s := w.keeper.share(id)
	for _, g := range w.gates {
		for _, p := range s.Gates {
			if p.Gate == g.self.Name && p.Permits > most {
				best, most = g, p.Permits
			}
		}
	}
	return best
}

// pausedGate pauses a gate between its choice and the first byte, until its
// lease is gone and others have its permits.
func pausedGate(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{MaxRequestTime: 2 * time.Second})
		defer w.close()
		w.limits.RampTime = longAge
		w.startGates(3, o)
		h := w.startHost("h1", fastModel())
		if err := w.publishGroup(h, "assistant-1", "a"); err != nil {
			return err
		}
		time.Sleep(time.Second)
		r, l := random(seed), w.newLoad()
		holder := w.holder("assistant-1")
		holder.pause(12*time.Second + upTo(r, time.Second))
		for range w.limits.ColdInFlight {
			l.ask(0, holder, question{organisation: "boia", tokens: 100, streaming: true})
		}
		for i := range 120 {
			g := w.gates[i%3]
			if g != holder {
				l.ask(6*time.Second+upTo(r, 12*time.Second), g, question{organisation: "nile", tokens: 30})
			}
		}
		if err := l.wait(); err != nil {
			return err
		}
		return checkPeak(h, w.limits.ColdInFlight)
	}
}

// movedPermits moves permits to another gate while the first one's work runs.
func movedPermits(o permit.Options) prove.Scenario {
	return func(seed uint64) error {
		o := o
		o.MinPermits = 1
		w := newWorld(o)
		defer w.close()
		w.limits.RampTime = longAge
		w.startGates(3, proxy.Options{})
		h := w.startHost("h1", fastModel())
		if err := w.publishGroup(h, "assistant-1", "a"); err != nil {
			return err
		}
		r, l := random(seed), w.newLoad()
		for i := range 120 {
			hot := w.gates[i/20%3]
			l.ask(time.Duration(i)*150*time.Millisecond, hot, question{organisation: "boia", tokens: 60 + r.IntN(60), deadline: 90 * time.Second})
		}
		if err := l.wait(); err != nil {
			return err
		}
		return checkPeak(h, w.limits.ColdInFlight)
	}
}

// chilled lets a proven target go cold under its old incarnation.
func chilled(unreported bool) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{})
		defer w.close()
		w.unreported = unreported
		w.limits.RampTime = time.Second
		w.startGates(3, proxy.Options{})
		h := w.startHost("h1", warmModel())
		if err := w.publishGroup(h, "assistant-1", "a"); err != nil {
			return err
		}
		r, l := random(seed), w.newLoad()
		for i := range 600 {
			l.ask(time.Duration(i)*20*time.Millisecond+upTo(r, 20*time.Millisecond), w.gates[r.IntN(3)], question{organisation: "boia", tokens: 30, streaming: i%2 == 0, deadline: 5 * time.Second})
		}
		time.Sleep(6 * time.Second)
		if w.keeper.share("assistant-1").Bound <= w.limits.ColdInFlight {
			return eris.New("the target was never proven")
		}
		w.limits.RampTime = longAge
		w.keeper.event(permit.TargetUp{
			Target: "group/assistant-1", Incarnation: h.engine.Incarnation(),
			Max: w.limits.MaxInFlight, Cold: w.limits.ColdInFlight, RampTime: longAge,
		})
		h.engine.ResetToCold()
		time.Sleep(chillLimit)
		highest := 0
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			highest = max(highest, h.engine.Running())
		}
		if err := l.wait(); err != nil {
			return err
		}
		if highest > w.limits.ColdInFlight {
			return eris.Wrapf(errOverBound, "%d requests at once, bound %d", highest, w.limits.ColdInFlight)
		}
		return nil
	}
}

// chillLimit is when work on a target that went cold must be down to its bound:
// after a report and the end of what runs.
const chillLimit = 1500 * time.Millisecond
