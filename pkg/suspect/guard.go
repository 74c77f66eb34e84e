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
	// trialRetryAfter is the retry delay given to callers while a trial is in progress.
	trialRetryAfter = 2 * time.Second
	// recentRunWindow is how long a request that ended without a complete answer still counts as
	// running, because its upstream's crash may be noticed after the request ended.
	recentRunWindow = 5 * time.Second
	// maxPendingCleared limits the cleared suspects that wait to be reported.
	maxPendingCleared = 1024
)

// Guard is the part of the package that runs in a gate: it tracks which requests run on which
// upstream and applies the view's quarantines. It is safe for concurrent use.
type Guard struct {
	self view.GateName
	view func() *view.View

	mu           sync.Mutex
	runs         map[*Run]struct{}                 // runs that have not ended
	trials       map[view.Fingerprint]*Run         // those of the runs that are trials
	recentRuns   []*Run                            // ended without a complete answer, oldest first
	brokenTrials map[view.Fingerprint]*brokenTrial // trials that broke off
	cleared      []view.Fingerprint                // cleared suspects that have yet to be reported
}

// NewGuard returns a guard for a gate. v returns the view in force.
func NewGuard(self view.GateName, v func() *view.View) *Guard {
	return &Guard{
		self:         self,
		view:         v,
		runs:         make(map[*Run]struct{}),
		trials:       make(map[view.Fingerprint]*Run),
		brokenTrials: make(map[view.Fingerprint]*brokenTrial),
	}
}

// Check decides how to treat a request before an upstream is chosen.
func (g *Guard) Check(now time.Time, f view.Fingerprint) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(now, f)
}

func (g *Guard) check(now time.Time, f view.Fingerprint) Decision {
	q, ok := g.view().Quarantines.Get(f)
	if !ok {
		delete(g.brokenTrials, f)
		return Decision{Kind: Unrestricted}
	}
	if !q.Isolate {
		left := time.Unix(0, int64(q.Until)).Sub(now)
		return Decision{Kind: Refused, RetryAfter: max(left, time.Second)}
	}
	if q.Trial != g.self {
		return Decision{Kind: TrialElsewhere, Gate: q.Trial, RetryAfter: trialRetryAfter}
	}
	if broken := g.brokenTrials[f]; broken != nil && broken.crashes >= q.Crashes && !broken.expired(now) {
		return Decision{Kind: TrialPending, RetryAfter: trialRetryAfter}
	}
	if g.trials[f] != nil {
		return Decision{Kind: TrialPending, RetryAfter: trialRetryAfter}
	}
	return Decision{Kind: StartTrial}
}

// OnTrial reports whether a suspect runs on an upstream. Such an upstream must not be chosen for
// another trial.
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

// Start records that a request is about to be sent to an upstream. It must be called right before
// the first byte and checks the view again. If it returns false the request must not be sent
// there: either Check returns the reason, or another suspect is on trial on that upstream. Each
// Run must be ended once.
func (g *Guard) Start(now time.Time, f view.Fingerprint, organisation string, host view.HostName, inc view.Incarnation) (*Run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldRuns(now)
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
	r.endedAt = now
	delete(g.runs, r)
	if r.trial {
		delete(g.trials, r.fingerprint)
	}
	if how == RunCompleted {
		if !r.trial { // it began before the request was a suspect
			return
		}
		g.recordCleared(r.fingerprint)
		return
	}
	g.recentRuns = append(g.recentRuns, r)
	if r.trial && how == RunBroken {
		q, _ := g.view().Quarantines.Get(r.fingerprint)
		g.brokenTrials[r.fingerprint] = &brokenTrial{crashes: q.Crashes, at: now}
	}
}

// recordCleared queues the report that a suspect completed.
func (g *Guard) recordCleared(f view.Fingerprint) {
	q, ok := g.view().Quarantines.Get(f)
	if !ok || !q.Isolate || len(g.cleared) >= maxPendingCleared || slices.Contains(g.cleared, f) {
		return
	}
	g.cleared = append(g.cleared, f)
}

// dropOldRuns drops runs that ended too long ago to have caused a crash.
func (g *Guard) dropOldRuns(now time.Time) {
	old := 0
	for old < len(g.recentRuns) && now.Sub(g.recentRuns[old].endedAt) > recentRunWindow {
		old++
	}
	g.recentRuns = slices.Delete(g.recentRuns, 0, old)
}

// CrashReport returns the report of an upstream's crash: all requests that were running there, or
// had recently ended there without a complete answer. It returns false if there is nothing to
// report.
func (g *Guard) CrashReport(now time.Time, host view.HostName, inc view.Incarnation) (CrashReported, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldRuns(now)
	ran := make(map[view.Fingerprint]Running)
	addRun := func(r *Run) {
		if r.host != host || r.incarnation != inc {
			return
		}
		if broken := g.brokenTrials[r.fingerprint]; broken != nil && r.trial {
			broken.crashReported = true
		}
		before := ran[r.fingerprint]
		ran[r.fingerprint] = Running{Fingerprint: r.fingerprint, Organisation: r.organisation, Trial: before.Trial || r.trial}
	}
	for r := range g.runs {
		addRun(r)
	}
	for _, r := range g.recentRuns {
		addRun(r)
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

// TakeCleared returns the suspects that completed since the last call. The caller reports them as
// SuspectCleared.
func (g *Guard) TakeCleared() []view.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	well := g.cleared
	g.cleared = nil
	return well
}
