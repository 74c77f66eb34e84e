package suspect

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// trialRetry is the advice while a trial is under way.
	trialRetry = 2 * time.Second
	// recentTime is how long a request that ended without a whole answer still
	// counts as running: its upstream's crash may be noticed after its end.
	recentTime = 5 * time.Second
	// maxWell bounds the acquittals that wait for their report.
	maxWell = 1024
)

// Guard is the gate's side: it knows what runs where and follows the view's
// quarantines. It is safe for concurrent use.
type Guard struct {
	self view.GateName
	view func() *view.View

	mu     sync.Mutex
	runs   map[*Run]struct{}               // that have not ended
	trials map[view.Fingerprint]*Run       // those of them on trial
	recent []*Run                          // ended without a whole answer, oldest first
	judged map[view.Fingerprint]*judgement // trials that broke
	well   []view.Fingerprint              // suspects that ended well, to be reported
}

// NewGuard returns a guard for a gate and its view in force.
func NewGuard(self view.GateName, v func() *view.View) *Guard {
	return &Guard{
		self:   self,
		view:   v,
		runs:   make(map[*Run]struct{}),
		trials: make(map[view.Fingerprint]*Run),
		judged: make(map[view.Fingerprint]*judgement),
	}
}

// Check says how to treat a request, before an upstream is chosen.
func (g *Guard) Check(now time.Time, f view.Fingerprint) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(now, f)
}

func (g *Guard) check(now time.Time, f view.Fingerprint) Decision {
	q, ok := g.view().Quarantines.Get(f)
	if !ok {
		delete(g.judged, f)
		return Decision{Kind: Unrestricted}
	}
	if !q.Isolate {
		left := time.Unix(0, int64(q.Until)).Sub(now)
		return Decision{Kind: Refused, RetryAfter: max(left, time.Second)}
	}
	if q.Trial != g.self {
		return Decision{Kind: TrialElsewhere, Gate: q.Trial, RetryAfter: trialRetry}
	}
	if j := g.judged[f]; j != nil && j.crashes >= q.Crashes && !j.over(now) {
		return Decision{Kind: TrialPending, RetryAfter: trialRetry}
	}
	if g.trials[f] != nil {
		return Decision{Kind: TrialPending, RetryAfter: trialRetry}
	}
	return Decision{Kind: StartTrial}
}

// OnTrial tells whether a suspect runs on an upstream: the choice for another
// trial leaves it out.
func (g *Guard) OnTrial(host view.HostName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onTrial(host)
}

func (g *Guard) onTrial(host view.HostName) bool {
	for _, r := range g.trials {
		if r.host == host {
			return true
		}
	}
	return false
}

// Start notes that a request goes to an upstream, right before its first
// byte. It looks at the view again: on false the request must not be sent
// there, and Check says why, or another suspect is on trial there. Each Run
// must be ended once.
func (g *Guard) Start(now time.Time, f view.Fingerprint, organisation string, host view.HostName, inc view.Incarnation) (*Run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	v := g.check(now, f)
	trial := v.Kind == StartTrial
	if v.Kind != Unrestricted && !trial || trial && g.onTrial(host) {
		return nil, false
	}
	r := &Run{guard: g, fingerprint: f, organisation: organisation, host: host, incarnation: inc, trial: trial}
	g.runs[r] = struct{}{}
	if trial {
		g.trials[f] = r
	}
	return r, true
}

func (g *Guard) end(now time.Time, r *Run, how RunResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.at = now
	delete(g.runs, r)
	if r.trial {
		delete(g.trials, r.fingerprint)
	}
	if how == RunCompleted {
		g.acquit(r.fingerprint)
		return
	}
	g.recent = append(g.recent, r)
	if r.trial && how == RunBroken {
		q, _ := g.view().Quarantines.Get(r.fingerprint)
		g.judged[r.fingerprint] = &judgement{crashes: q.Crashes, at: now}
	}
}

// acquit queues the report that a suspect ended well.
func (g *Guard) acquit(f view.Fingerprint) {
	q, ok := g.view().Quarantines.Get(f)
	if !ok || !q.Isolate || len(g.well) >= maxWell || slices.Contains(g.well, f) {
		return
	}
	g.well = append(g.well, f)
}

// forget drops runs that ended too long ago to be blamed.
func (g *Guard) forget(now time.Time) {
	old := 0
	for old < len(g.recent) && now.Sub(g.recent[old].at) > recentTime {
		old++
	}
	g.recent = slices.Delete(g.recent, 0, old)
}

// CrashReport returns the report of an upstream's crash: all that ran there or
// ended there without a whole answer just now. It returns false if there is
// nothing to report.
func (g *Guard) CrashReport(now time.Time, host view.HostName, inc view.Incarnation) (CrashReported, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	ran := make(map[view.Fingerprint]Running)
	note := func(r *Run) {
		if r.host != host || r.incarnation != inc {
			return
		}
		if j := g.judged[r.fingerprint]; j != nil && r.trial {
			j.reported = true
		}
		before := ran[r.fingerprint]
		ran[r.fingerprint] = Running{Fingerprint: r.fingerprint, Organisation: r.organisation, Trial: before.Trial || r.trial}
	}
	for r := range g.runs {
		note(r)
	}
	for _, r := range g.recent {
		note(r)
	}
	report := CrashReported{
		Upstream:    host,
		Incarnation: inc,
		Gate:        g.self,
		Running: slices.SortedFunc(maps.Values(ran), func(a, b Running) int {
			return cmp.Compare(a.Fingerprint, b.Fingerprint)
		}),
	}
	return report, len(ran) > 0
}

// TakeCleared returns the suspects that ended well since the last call, to be
// reported as RanWell.
func (g *Guard) TakeCleared() []view.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	well := g.well
	g.well = nil
	return well
}
