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
	crashTick        = 50 * time.Millisecond
	viewDelayTicks   = 6  // maximum ticks until a gate has a new view
	badRequestTicks  = 3  // ticks from the start of a bad request to the crash of its upstream
	restartTicks     = 20 // ticks until a crashed upstream has restarted
	noticeTicks      = 4  // maximum ticks until a gate notices a crash
	maxInnocentTicks = 20 // maximum ticks that an innocent request runs
	innocentCount    = 30 // number of different innocent requests
	gateGoneTicks    = 80 // ticks until the log records that a gate is gone
	badRetryTicks    = 20 // ticks between the sends of a bad request's caller
)

// CrashPlan configures a run in which requests crash upstreams.
type CrashPlan struct {
	Gates            int
	Upstreams        int
	CrashingRequests int           // number of different crashing (bad) requests, each with its own caller
	Copies           int           // of a bad request that its caller keeps in flight at once
	Duration         time.Duration // virtual duration of the run
	DomainFailure    bool          // a third of the upstreams crashes at once, not because of a bad request
	KillTrial        bool          // the gate that runs a trial of the bad request is killed at the crash
	NoGuard          bool          // gates run all requests, also quarantined ones
	Machine          suspect.Unsafe
}

// CrashResult holds the counts of a run.
type CrashResult struct {
	CrashedUpstreams int // upstreams crashed by bad requests
	SentBeforeTrial  int // copies of bad requests that were sent outside a trial
	Trials           int
	KilledGates      int // gates that were killed
	Convicted        int // times that an innocent request was convicted
	Refused          int // times that a bad request was refused
	SuspectsAtEnd    int // innocent requests still under suspicion at the end
	Finished         int // innocent requests that completed
	Delayed          int // times that an innocent request was told to wait
}

// crashUpstream is an upstream with its current incarnation.
type crashUpstream struct {
	name        view.HostName
	incarnation view.Incarnation
	downTo      int // tick at which it is up again
}

// crashRun is a request that runs on an upstream.
type crashRun struct {
	gate        *crashGate
	run         *suspect.Run
	upstream    *crashUpstream
	incarnation view.Incarnation
	bad         view.Fingerprint // "" for an innocent request
	endAt       int
}

// crashGate is a simulated gate.
type crashGate struct {
	name  view.GateName
	guard *suspect.Guard
	view  *view.View
	dead  bool
}

// crashWorld simulates a run in steps of crashTick, without goroutines.
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

// badPrefix is the prefix of the fingerprints of bad requests.
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
		w.upstreams = append(w.upstreams, &crashUpstream{name: view.HostName(fmt.Sprintf("u%d", n)), incarnation: 1})
	}
	return w
}

// RunCrashes simulates a run.
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
		w.sendInnocent(g)
		for _, f := range g.guard.TakeCleared() {
			w.at(1+w.rand.IntN(noticeTicks), func() { w.apply(suspect.SuspectCleared{Fingerprint: f}) })
		}
	}
	if w.plan.DomainFailure && w.now == last/3 {
		w.failDomain()
	}
	for n := range w.plan.CrashingRequests {
		w.sendBadCopies(view.Fingerprint(fmt.Sprintf("%s%d", badPrefix, n)))
	}
}

func (w *crashWorld) at(ticks int, f func()) {
	w.events[w.now+ticks] = append(w.events[w.now+ticks], f)
}

func (w *crashWorld) time() time.Time { return time.Unix(0, int64(w.now)*int64(crashTick)) }

// apply applies an event to the machine and sends the new view to the gates.
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
		w.at(1+w.rand.IntN(viewDelayTicks), func() {
			if v.Revision > g.view.Revision {
				g.view = v
			}
		})
	}
}

// endRuns ends the runs that are due or whose upstream was lost. A bad request crashes
// its upstream when it ends.
func (w *crashWorld) endRuns() {
	for _, r := range append([]*crashRun(nil), w.runs...) {
		switch {
		case r.endAt > w.now || r.upstream.incarnation != r.incarnation:
		case r.bad != "":
			w.result.CrashedUpstreams++
			w.crash(r.upstream)
		default:
			r.run.End(w.time(), suspect.RunCompleted)
			w.result.Finished++
			w.removeRun(r)
		}
	}
}

func (w *crashWorld) removeRun(x *crashRun) {
	for n, r := range w.runs {
		if r == x {
			w.runs = append(w.runs[:n], w.runs[n+1:]...)
			return
		}
	}
}

// crash ends an incarnation and everything that runs on it. Each gate notices the crash
// separately.
func (w *crashWorld) crash(u *crashUpstream) {
	inc := u.incarnation
	u.incarnation++
	u.downTo = w.now + restartTicks
	trialOf := (*crashGate)(nil)
	for _, r := range append([]*crashRun(nil), w.runs...) {
		if r.upstream != u || r.incarnation != inc {
			continue
		}
		if r.bad != "" && r.run.Trial() {
			trialOf = r.gate
		}
		r.run.End(w.time(), suspect.RunBroken)
		w.removeRun(r)
	}
	if trialOf != nil && w.plan.KillTrial && w.result.KilledGates < len(w.gates)-1 {
		w.kill(trialOf)
	}
	for _, g := range w.gates {
		w.at(1+w.rand.IntN(noticeTicks), func() { w.notice(g, u.name, inc) })
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

// kill ends a gate before it can report a crash.
func (w *crashWorld) kill(g *crashGate) {
	g.dead = true
	w.result.KilledGates++
	for _, r := range append([]*crashRun(nil), w.runs...) {
		if r.gate == g {
			w.removeRun(r)
		}
	}
	w.at(gateGoneTicks, func() { w.apply(suspect.GateGone{Gate: g.name, Successor: w.anyLiveGate()}) })
}

func (w *crashWorld) anyLiveGate() view.GateName {
	for _, g := range w.gates {
		if !g.dead {
			return g.name
		}
	}
	return ""
}

// failDomain crashes a third of the upstreams at once.
func (w *crashWorld) failDomain() {
	for n, u := range w.upstreams {
		if n%3 == 0 && u.downTo <= w.now {
			w.crash(u)
		}
	}
}
