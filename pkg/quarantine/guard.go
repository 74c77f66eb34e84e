package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// completionTTL is how long a completed run shows that a request is harmless.
	completionTTL = 30 * time.Second
	// maxCompletions limits the completed requests that a guard remembers, in each of two
	// generations.
	maxCompletions = 8192
	// maxOwnCrashes limits the requests whose crashes a guard remembers.
	maxOwnCrashes = 2048
)

// Verdict says how an entry host must treat a request.
type Verdict string

const (
	Free       Verdict = "free"    // run it
	NeedsTrial Verdict = "trial"   // run it only if the leader grants a trial
	MustRefuse Verdict = "refused" // do not run it
)

// Guard is an entry host's knowledge of requests and parts of prompts under quarantine: the list in
// force, the crashes that it has seen itself, and what completed here. Where it says request, the same
// holds for parts. It is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	inForce  List
	own      map[view.Fingerprint]*ownCrashes
	complete [2]map[view.Fingerprint]time.Duration // time of the last completed run; newer generation first
}

type ownCrashes struct {
	crashes []Crash
	lastAt  time.Duration
}

// NewGuard returns a guard that knows nothing.
func NewGuard() *Guard {
	return &Guard{
		own:      map[view.Fingerprint]*ownCrashes{},
		complete: [2]map[view.Fingerprint]time.Duration{{}, {}},
	}
}

// Watches reports whether any request is under suspicion, so that requests must be identified
// before they run.
func (g *Guard) Watches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inForce) > 0 || len(g.own) > 0
}

// Judgement says how an entry host must treat a request, and why.
type Judgement struct {
	Verdict Verdict
	// RetryAtMS is when a refused request may be tried again, Unix milliseconds; with MustRefuse.
	RetryAtMS int64
	// Parts are the suspect parts of the request; with NeedsTrial.
	Parts []view.Fingerprint
	// Unproven are all parts of the request that did not complete here lately.
	Unproven []view.Fingerprint
	// Waits is set if no trial is granted now, because another one runs or is due first; with
	// NeedsTrial and Parts.
	Waits bool
}

// Judge decides how to treat a request that holds these parts of a prompt.
func (g *Guard) Judge(now time.Duration, nowMS int64, request view.Fingerprint, parts []view.Fingerprint) Judgement {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := Judgement{Verdict: Free}
	for _, f := range parts {
		if !g.completedLately(now, f) {
			j.Unproven = append(j.Unproven, f)
			g.judgePart(now, nowMS, f, &j)
		}
	}
	for _, f := range j.Parts {
		e := g.inForce.Find(f)
		j.Waits = j.Waits || e != nil && e.partWaits(nowMS, request, j.Parts)
	}
	if j.Verdict != MustRefuse && !g.completedLately(now, request) {
		g.judgeRequest(now, nowMS, request, &j)
	}
	return j
}

func (g *Guard) judgePart(now time.Duration, nowMS int64, f view.Fingerprint, j *Judgement) {
	e := g.inForce.Find(f)
	switch {
	case e != nil && e.Refused(nowMS):
		j.Verdict = MustRefuse
		j.RetryAtMS = max(j.RetryAtMS, e.refusedUntilMS())
	case j.Verdict == MustRefuse:
	case e != nil || g.suspects(now, f):
		j.Verdict = NeedsTrial
		j.Parts = append(j.Parts, f)
	}
}

func (g *Guard) judgeRequest(now time.Duration, nowMS int64, f view.Fingerprint, j *Judgement) {
	e := g.inForce.Find(f)
	switch {
	case e != nil && e.Refused(nowMS):
		j.Verdict, j.RetryAtMS = MustRefuse, e.refusedUntilMS()
	case e != nil || g.suspects(now, f):
		j.Verdict = NeedsTrial
		j.Waits = j.Waits || len(j.Parts) > 0 // its crash could not be attributed
	}
}

// suspects reports whether the crashes seen here alone make a suspect.
func (g *Guard) suspects(now time.Duration, f view.Fingerprint) bool {
	own := g.own[f]
	return own != nil && Suspicious(own.crashes) && now-own.lastAt < SuspectTTL
}

func (g *Guard) completedLately(now time.Duration, f view.Fingerprint) bool {
	for _, generation := range g.complete {
		if at, ok := generation[f]; ok && now-at < completionTTL {
			return true
		}
	}
	return false
}

// Crashed records that a request was running when an upstream ended. It reports whether that counts
// against the request.
func (g *Guard) Crashed(now time.Duration, f view.Fingerprint, c Crash) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.completedLately(now, f) {
		return false
	}
	own := g.own[f]
	if own == nil {
		g.makeRoom(now)
		own = &ownCrashes{}
		g.own[f] = own
	}
	own.lastAt = now
	own.crashes, _ = addCrash(own.crashes, c)
	return true
}

// makeRoom forgets expired crashes, and if there are too many the oldest.
func (g *Guard) makeRoom(now time.Duration) {
	if len(g.own) < maxOwnCrashes {
		return
	}
	var oldest view.Fingerprint
	for f, own := range g.own {
		if now-own.lastAt >= SuspectTTL {
			delete(g.own, f)
			continue
		}
		if oldest == "" || own.lastAt < g.own[oldest].lastAt {
			oldest = f
		}
	}
	if len(g.own) >= maxOwnCrashes {
		delete(g.own, oldest)
	}
}

// Completed records that a request ran to its end. It reports whether the request was under
// suspicion.
func (g *Guard) Completed(now time.Duration, f view.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.complete[0]) >= maxCompletions {
		g.complete[1] = g.complete[0]
		g.complete[0] = map[view.Fingerprint]time.Duration{}
	}
	g.complete[0][f] = now
	_, crashed := g.own[f]
	delete(g.own, f)
	return crashed || g.inForce.Find(f) != nil
}

// Forgive forgets the crashes of a request that the leader has cleared.
func (g *Guard) Forgive(f view.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.own, f)
}

// PutInForce replaces the list in force. It returns the requests of the list that are harmless,
// because they completed here lately.
func (g *Guard) PutInForce(now time.Duration, l List) []view.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inForce = l
	var harmless []view.Fingerprint
	for _, e := range l {
		if g.completedLately(now, e.Fingerprint) {
			harmless = append(harmless, e.Fingerprint)
		}
	}
	return harmless
}

// CrashesOf returns the crashes of a request that this entry host has seen.
func (g *Guard) CrashesOf(f view.Fingerprint) []Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	if own := g.own[f]; own != nil {
		return slices.Clone(own.crashes)
	}
	return nil
}

// OwnCrashes returns all crashes that this entry host has seen and that still count, by request.
func (g *Guard) OwnCrashes(now time.Duration) map[view.Fingerprint][]Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[view.Fingerprint][]Crash, len(g.own))
	for f, own := range g.own {
		if now-own.lastAt >= SuspectTTL {
			delete(g.own, f)
			continue
		}
		all[f] = slices.Clone(own.crashes)
	}
	return all
}
