package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// completionTTL is how long after a completed run a request probably is harmless and popular.
	completionTTL = 30 * time.Second
	// maxCompletions limits the completed requests that a guard remembers, in each of two
	// generations.
	maxCompletions = 8192
	// completionMargin is how much longer than disproofTime runs are reported after a crash.
	completionMargin = 2 * time.Second
	// tellInterval is the mean time between the beginnings of runs of one request that all entry hosts
	// report, if many run it. minTellInterval and maxTellInterval limit that of one entry host.
	tellInterval    = 15 * time.Millisecond
	minTellInterval = 100 * time.Millisecond
	maxTellInterval = time.Second
	// maxTold limits the requests of which such reports are remembered.
	maxTold = 4096
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
	heard    map[view.Fingerprint]time.Duration // when the last crash of an entry in force was heard of
	own      map[view.Fingerprint]*history
	complete [2]map[view.Fingerprint]Proof // the completed run that began last; newer generation first

	entryHosts  int                                // in the deployment
	lastCrashAt time.Duration                      // of any request
	told        map[view.Fingerprint]time.Duration // when the last run began that the leader was told of
}

// NewGuard returns a guard that knows nothing.
func NewGuard() *Guard {
	return &Guard{
		heard:    map[view.Fingerprint]time.Duration{},
		own:      map[view.Fingerprint]*history{},
		complete: [2]map[view.Fingerprint]Proof{{}, {}},
		told:     map[view.Fingerprint]time.Duration{},
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
	// Unproven are all parts of the request that are not known to be harmless.
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
		if !g.harmless(now, f) {
			j.Unproven = append(j.Unproven, f)
			g.judgePart(now, nowMS, f, &j)
		}
	}
	for _, f := range j.Parts {
		e := g.inForce.Find(f)
		j.Waits = j.Waits || e != nil && e.partWaits(nowMS, request, j.Parts)
	}
	if j.Verdict != MustRefuse && !g.harmless(now, request) {
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
	return own != nil && own.suspicious(now) && now-own.lastAt < SuspectTTL
}

// harmless reports whether a request completed lately, in a run that disproves what makes it a
// suspect.
func (g *Guard) harmless(now time.Duration, f view.Fingerprint) bool {
	p := g.proofOf(f)
	return p.recentAt(now) && !g.suspects(now, f) && (g.inForce.Find(f) == nil || p.Began > g.heard[f])
}

func (g *Guard) proofOf(f view.Fingerprint) Proof {
	if p, ok := g.complete[0][f]; ok {
		return p
	}
	return g.complete[1][f]
}

// ProofOf returns the last run of a request that completed here.
func (g *Guard) ProofOf(f view.Fingerprint) Proof {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proofOf(f)
}

// Crashed records that a request was running when an upstream ended. It returns the last run of the
// request that completed here.
func (g *Guard) Crashed(now time.Duration, f view.Fingerprint, c SeenCrash) Proof {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.own[f]
	if own == nil {
		g.makeRoom(now)
		own = &history{}
		g.own[f] = own
	}
	own.prove(g.proofOf(f))
	own.add(c)
	g.lastCrashAt = now
	return own.proof
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

// SetEntryHosts sets the number of entry hosts in the deployment.
func (g *Guard) SetEntryHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryHosts = n
}

// Completed records that a request ran to its end. It reports whether the request was under suspicion
// here, and whether the leader must know because it may be so at other entry hosts.
func (g *Guard) Completed(f view.Fingerprint, p Proof) (suspected, tell bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.complete[0]) >= maxCompletions {
		g.complete[1] = g.complete[0]
		g.complete[0] = map[view.Fingerprint]Proof{}
	}
	tell = g.tells(p.Ended, f, p.Began)
	p = p.merge(g.proofOf(f))
	g.complete[0][f] = p
	own := g.own[f]
	if own != nil {
		if own.prove(p); len(own.crashes) == 0 {
			delete(g.own, f)
		}
	}
	return own != nil || g.inForce.Find(f) != nil, tell
}

// tells reports whether the leader must know of a run of something that completed before: upstreams
// ended lately, under runs of other entry hosts too.
func (g *Guard) tells(now time.Duration, f view.Fingerprint, began time.Duration) bool {
	if now-g.lastCrashAt >= disproofTime+completionMargin || !g.proofOf(f).recentAt(now) {
		return false
	}
	if last, ok := g.told[f]; ok && began-last < min(max(time.Duration(g.entryHosts)*tellInterval, minTellInterval), maxTellInterval) {
		return false
	}
	if len(g.told) >= maxTold {
		clear(g.told)
	}
	g.told[f] = began
	return true
}

// Progressed records that a run which began at a time writes its answer. It reports whether the leader
// must know: earlier crashes of the request are disregarded because of that, here or elsewhere.
func (g *Guard) Progressed(now time.Duration, f view.Fingerprint, began time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	tell := g.tells(now, f, began)
	own := g.own[f]
	if own == nil {
		return tell
	}
	before := len(own.crashes)
	if own.progressed(began); len(own.crashes) == 0 {
		delete(g.own, f)
	}
	return tell || len(own.crashes) < before
}

// Forgive forgets the crashes of a request that the leader has cleared.
func (g *Guard) Forgive(f view.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.own, f)
}

// PutInForce replaces the list in force. It returns the requests of the list that completed here
// lately: their runs may have begun after the last crash.
func (g *Guard) PutInForce(now time.Duration, l List) []view.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := make(map[view.Fingerprint]time.Duration, len(l))
	var completed []view.Fingerprint
	for _, e := range l {
		f := e.Fingerprint
		heard[f] = now
		if known := g.inForce.Find(f); known != nil && known.LastCrashMS == e.LastCrashMS {
			heard[f] = g.heard[f]
		}
		if g.proofOf(f).recentAt(now) {
			completed = append(completed, f)
		}
	}
	g.inForce, g.heard = l, heard
	return completed
}

// CrashesOf returns the crashes of a request that this entry host has seen.
func (g *Guard) CrashesOf(f view.Fingerprint) []SeenCrash {
	g.mu.Lock()
	defer g.mu.Unlock()
	if own := g.own[f]; own != nil {
		return slices.Clone(own.crashes)
	}
	return nil
}

// OwnCrashes returns all crashes that this entry host has seen and that still count, by request.
func (g *Guard) OwnCrashes(now time.Duration) map[view.Fingerprint][]SeenCrash {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[view.Fingerprint][]SeenCrash, len(g.own))
	for f, own := range g.own {
		if now-own.lastAt >= SuspectTTL {
			delete(g.own, f)
			continue
		}
		if len(own.crashes) > 0 {
			all[f] = slices.Clone(own.crashes)
		}
	}
	return all
}
