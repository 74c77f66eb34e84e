package once

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	crashTick     = 50 * time.Millisecond
	viewLag       = 6  // ticks until a gate has a new view, at most
	crashAfter    = 3  // ticks that a bad request runs until its upstream crashes
	rebirthAfter  = 20 // ticks until a crashed upstream is back
	noticeAfter   = 4  // ticks until a gate notices a crash, at most
	innocentTicks = 20 // ticks that an innocent request runs, at most
	innocentCount = 30 // different innocent requests
	gateGoneAfter = 80 // ticks until the log knows that a gate is gone
	badRetry      = 20 // ticks between the sends of the bad request's caller
)

// CrashPlan is one run of requests that crash upstreams.
type CrashPlan struct {
	Gates            int
	Upstreams        int
	CrashingRequests int           // different bad requests, each with a caller of its own
	Copies           int           // of a bad request that its caller keeps in flight
	Duration         time.Duration // of the run
	DomainFailure    bool          // a third of the upstreams crashes at once, without any bad request
	KillTrial        bool          // the trial gate dies at each trial of the bad request
	NoGuard          bool          // gates run everything
	Machine          suspect.Unsafe
}

// CrashResult tells how a run went.
type CrashResult struct {
	CrashedUpstreams int // upstreams that bad requests crashed
	SentBeforeTrial  int // copies of them that were sent outside a trial
	Trials           int
	KilledGates      int // gates that died
	Convicted        int // innocent requests that were ever refused as convicted
	Refused          int // times that a bad request was refused as convicted
	SuspectsAtEnd    int // innocent requests still under suspicion at the end
	Finished         int // innocent requests that ended well
	Delayed          int // times that an innocent request was told to wait
}

// crashUpstream is one upstream with its incarnation.
type crashUpstream struct {
	name   view.HostName
	inc    view.Incarnation
	downTo int // tick at which it is back
}

// crashRun is one request on an upstream.
type crashRun struct {
	gate     *crashGate
	run      *suspect.Run
	upstream *crashUpstream
	inc      view.Incarnation
	bad      view.Fingerprint // "" for an innocent one
	endAt    int
}

// crashGate is one gate.
type crashGate struct {
	name  view.GateName
	guard *suspect.Guard
	view  *view.View
	dead  bool
}

// crashWorld is a run in steps of crashTick, without goroutines.
type crashWorld struct {
	plan      CrashPlan
	rand      *rand.Rand
	now       int
	machine   *suspect.Machine
	published *view.View
	gates     []*crashGate
	upstreams []*crashUpstream
	runs      []*crashRun
	events    map[int][]func()
	nextBad   int
	result    CrashResult
}

// badPrefix begins the fingerprints of bad requests.
const badPrefix = "bad-"

func isBad(f view.Fingerprint) bool { return strings.HasPrefix(string(f), badPrefix) }

func newCrashWorld(seed uint64, p CrashPlan) *crashWorld {
	w := &crashWorld{
		plan:      p,
		rand:      rand.New(rand.NewPCG(seed, 11)),
		machine:   suspect.NewMachine(suspect.Options{Unsafe: p.Machine}),
		published: view.New(),
		events:    make(map[int][]func()),
	}
	for n := range p.Gates {
		g := &crashGate{name: gateName(n), view: view.New()}
		g.guard = suspect.NewGuard(g.name, func() *view.View { return g.view })
		w.gates = append(w.gates, g)
	}
	for n := range p.Upstreams {
		w.upstreams = append(w.upstreams, &crashUpstream{name: view.HostName(fmt.Sprintf("u%d", n)), inc: 1})
	}
	return w
}

// RunCrashes plays one run.
func RunCrashes(seed uint64, p CrashPlan) CrashResult {
	w := newCrashWorld(seed, p)
	last := int(p.Duration / crashTick)
	for w.now = 0; w.now < last; w.now++ {
		w.step(last)
	}
	for _, q := range w.machine.Quarantines() {
		if !isBad(q.Fingerprint) && q.Isolate {
			w.result.SuspectsAtEnd++
		}
	}
	return w.result
}

func (w *crashWorld) step(last int) {
	for _, f := range w.events[w.now] {
		f()
	}
	delete(w.events, w.now)
	w.endRuns()
	if w.now%20 == 0 {
		w.apply(suspect.Ticked{})
	}
	for _, g := range w.gates {
		w.innocents(g)
		for _, f := range g.guard.TakeCleared() {
			w.at(1+w.rand.IntN(noticeAfter), func() { w.apply(suspect.SuspectCleared{Fingerprint: f}) })
		}
	}
	if w.plan.DomainFailure && w.now == last/3 {
		w.darken()
	}
	for n := range w.plan.CrashingRequests {
		w.badCaller(view.Fingerprint(fmt.Sprintf("%s%d", badPrefix, n)))
	}
}

func (w *crashWorld) at(ticks int, f func()) {
	w.events[w.now+ticks] = append(w.events[w.now+ticks], f)
}

func (w *crashWorld) time() time.Time { return time.Unix(0, int64(w.now)*int64(crashTick)) }

// apply carries out a command of the log and sends the view to the gates.
func (w *crashWorld) apply(e suspect.Event) {
	next := w.published.Revision + 1
	changes := w.machine.Step(view.Time(w.time().UnixNano()), next, e)
	if len(changes) == 0 {
		return
	}
	v, err := w.published.Install(&view.Delta{From: w.published.Revision, To: next})
	if err != nil {
		panic(err)
	}
	for _, c := range changes {
		switch x := c.(type) {
		case suspect.PutQuarantine:
			v.Quarantines.Put(x.Quarantine.Fingerprint, x.Quarantine, next)
			if !x.Quarantine.Isolate && !isBad(x.Quarantine.Fingerprint) {
				w.result.Convicted++
			}
		case suspect.DeleteQuarantine:
			v.Quarantines.Delete(x.Fingerprint, next)
		}
	}
	w.published = v
	for _, g := range w.gates {
		w.at(1+w.rand.IntN(viewLag), func() {
			if v.Revision > g.view.Revision {
				g.view = v
			}
		})
	}
}

// endRuns ends what is due: a bad request takes its upstream along.
func (w *crashWorld) endRuns() {
	for _, r := range append([]*crashRun(nil), w.runs...) {
		switch {
		case r.endAt > w.now || r.upstream.inc != r.inc:
		case r.bad != "":
			w.result.CrashedUpstreams++
			w.crash(r.upstream)
		default:
			r.run.End(w.time(), suspect.RunCompleted)
			w.result.Finished++
			w.drop(r)
		}
	}
}

func (w *crashWorld) drop(x *crashRun) {
	for n, r := range w.runs {
		if r == x {
			w.runs = append(w.runs[:n], w.runs[n+1:]...)
			return
		}
	}
}

// crash ends an incarnation and everything on it. Each gate notices for
// itself.
func (w *crashWorld) crash(u *crashUpstream) {
	inc := u.inc
	u.inc++
	u.downTo = w.now + rebirthAfter
	trialOf := (*crashGate)(nil)
	for _, r := range append([]*crashRun(nil), w.runs...) {
		if r.upstream != u || r.inc != inc {
			continue
		}
		if r.bad != "" && r.run.Trial() {
			trialOf = r.gate
		}
		r.run.End(w.time(), suspect.RunBroken)
		w.drop(r)
	}
	if trialOf != nil && w.plan.KillTrial && w.result.KilledGates < len(w.gates)-1 {
		w.kill(trialOf)
	}
	for _, g := range w.gates {
		w.at(1+w.rand.IntN(noticeAfter), func() { w.notice(g, u.name, inc) })
	}
}

func (w *crashWorld) notice(g *crashGate, host view.HostName, inc view.Incarnation) {
	if g.dead {
		return
	}
	if report, ok := g.guard.CrashReport(w.time(), host, inc); ok {
		w.apply(report)
	}
}

// kill ends a gate before it can tell of a crash.
func (w *crashWorld) kill(g *crashGate) {
	g.dead = true
	w.result.KilledGates++
	for _, r := range append([]*crashRun(nil), w.runs...) {
		if r.gate == g {
			w.drop(r)
		}
	}
	w.at(gateGoneAfter, func() { w.apply(suspect.GateGone{Gate: g.name, Successor: w.alive()}) })
}

func (w *crashWorld) alive() view.GateName {
	for _, g := range w.gates {
		if !g.dead {
			return g.name
		}
	}
	return ""
}

// darken crashes a third of the upstreams at once.
func (w *crashWorld) darken() {
	for n, u := range w.upstreams {
		if n%3 == 0 && u.downTo <= w.now {
			w.crash(u)
		}
	}
}
