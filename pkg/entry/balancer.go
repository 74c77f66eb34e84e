package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/census"
)

// reason is the cause for which no upstream was selected. The text is sent to clients and to other
// entry hosts.
type reason string

const (
	noReason         reason = ""
	noUpstream       reason = "no upstream serves it"
	allFull          reason = "all upstreams are full"
	allExcluded      reason = "all upstreams were tried or fail"
	limitReached     reason = "all upstreams that are left name a limit, which is reached"
	warmupBound      reason = "cold upstreams bear no more requests"
	retryBudgetSpent reason = "budget of repeats is spent"
	deadlineReached  reason = "no time is left"
	noDocument       reason = "no document is in force yet"
	outdatedDocument reason = "the document does not allow the request, and may be outdated"
	unknownService   reason = "the placer's document has no such service"
	linksLost        reason = "this entry host can't reach upstreams"
	olderDocument    reason = "this entry host holds an older document"
	processStops     reason = "this entry host stops"
	bodiesTooLarge   reason = "this entry host holds too many bytes of requests"
	unknownRoute     reason = "no route matches"
	unknownKey       reason = "unknown API key"
)

// balancer selects upstreams from the state known about them.
type balancer struct {
	mu             sync.Mutex
	targets        map[string]*target
	evacuatedZones map[string]bool
	entryHost      string        // name of this entry host
	startedAt      time.Duration // when this process started
	zone           string
	entryHosts     int // number of entry hosts in the deployment
	census         census.Count

	coldFactor, coldSlack float64
	lastFull              map[string]time.Duration // by model placed here: time of the last rejection for lack of capacity
	rand                  *rand.Rand

	limited  atomic.Int64             // upstreams that name a limit; may be read without the lock
	arrivals map[string]*arrivalRate  // of requests, by service without an engine
	returns  map[string]time.Duration // when the last request that limits refused comes back, by service and model
}

func newBalancer(cfg Config) *balancer {
	return &balancer{
		targets:        map[string]*target{},
		evacuatedZones: map[string]bool{},
		entryHost:      cfg.Name,
		zone:           cfg.Zone,
		entryHosts:     1,
		lastFull:       map[string]time.Duration{},
		coldFactor:     cfg.ColdFactor,
		coldSlack:      cfg.ColdSlack,
		arrivals:       map[string]*arrivalRate{},
		returns:        map[string]time.Duration{},
		rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// placementRequest holds what a request requires of an upstream.
type placementRequest struct {
	service      *catalog.Service
	model        string // set for engine services only
	promptTokens int
	tried        map[string]bool
	localPlacer  bool // this entry host places all requests of the model
	hosted       bool // of another entry host, for which this one is the placer
	resuming     bool // continues a stream that has begun; takes precedence over new requests
	standby      bool // for a standby: the request is not refused if there is no room
}

// choose selects an upstream and counts the request there. The caller must pass the placement to
// release. It must cope with many concurrent callers on few heads, with failing heads and with cold
// ones.
func (b *balancer) choose(now time.Duration, req placementRequest) (*placement, reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countArrival(now, req)
	var best *target
	bestScore := 0.0
	why := noUpstream
	var eligible []*target
	for _, t := range b.candidates(req) {
		if r := b.exclusionReason(now, t, req); r != noReason {
			if reasonPrecedence[r] > reasonPrecedence[why] {
				why = r
			}
			continue
		}
		eligible = append(eligible, t)
	}
	if len(eligible) == 0 {
		if why == allFull && req.localPlacer && !req.resuming && !req.standby {
			b.lastFull[req.model] = now
		}
		return nil, why
	}
	b.rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	if !req.localPlacer {
		// Choose the best of a small random sample: entry hosts that share the same outdated counts
		// would otherwise all choose the same upstream.
		eligible = eligible[:min(len(eligible), sampledCandidates)]
	}
	for _, t := range eligible {
		if score := b.score(t, req); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	best.spendLimit()
	return b.addRequest(now, best, req.promptTokens), noReason
}

// countArrival counts a request for a service without an engine. The caller holds the lock.
func (b *balancer) countArrival(now time.Duration, req placementRequest) {
	if req.service.Engine != nil {
		return
	}
	r := b.arrivals[req.service.Name]
	if r == nil {
		r = &arrivalRate{}
		b.arrivals[req.service.Name] = r
	}
	r.add(now)
}

// reasonPrecedence orders the reasons by how soon they are expected to pass. If several apply, the
// one with the highest value is reported.
var reasonPrecedence = map[reason]int{noUpstream: 0, allExcluded: 1, warmupBound: 2, limitReached: 3, allFull: 4}

// candidates returns the upstreams that can serve the request in principle.
func (b *balancer) candidates(req placementRequest) []*target {
	var ts []*target
	for _, t := range b.targets {
		if b.serves(t, req) {
			ts = append(ts, t)
		}
	}
	return ts
}

// exclusionReason returns why an upstream can't take the request now, or noReason.
func (b *balancer) exclusionReason(now time.Duration, t *target, req placementRequest) reason {
	switch {
	case b.excluded(now, t, req):
		return allExcluded
	case !b.mayStartRequest(now, t, req):
		return warmupBound
	case !b.allowsLimit(now, t, req):
		return limitReached
	case t.total() >= b.capacity(now, t, req):
		return allFull
	}
	return noReason
}

// slotCount returns how many requests an upstream runs concurrently, at least 1.
func slotCount(t *target, req placementRequest) int {
	if req.service.Engine != nil && req.service.Engine.Slots > 0 {
		return req.service.Engine.Slots
	}
	return max(t.Slots, 1)
}

// capacity returns how many requests may be assigned to an upstream: its slots and a bounded queue.
// With delayed counts a short queue keeps slots busy while updates are under way. With exact counts
// a longer queue absorbs bursts. After a rejection the queue stays short until there is room again,
// because a queue that stays long delays all requests without serving more of them.
func (b *balancer) capacity(now time.Duration, t *target, req placementRequest) int {
	part := queueShareStaleCounts
	switch {
	case req.localPlacer && b.overloaded(now, req):
		part = queueShareOverload
	case req.localPlacer:
		part = queueShareBurst
	}
	slots := slotCount(t, req)
	room := slots + max(int(part*float64(slots)), 1)
	if req.resuming {
		room += int(resumeReserve * float64(room))
	}
	return room
}

const (
	// Queue lengths at a head, as shares of its slots. A queue of half the slots takes about one
	// second to be served, so that its last requests are answered late but still answered; a queue
	// of an eighth takes less than the latency objective.
	queueShareStaleCounts = 0.25
	queueShareBurst       = 0.5
	queueShareOverload    = 0.125
	// resumeReserve is the share of the capacity that resumed streams may use beyond it.
	resumeReserve = 0.25
	// overloadWindow is how long the queue stays short after a rejection; each further rejection
	// extends it.
	overloadWindow = 500 * time.Millisecond
)

// overloaded reports whether requests for the model were recently rejected because all heads were
// full.
func (b *balancer) overloaded(now time.Duration, req placementRequest) bool {
	at, ever := b.lastFull[req.model]
	return ever && now-at < overloadWindow
}

// score rates an upstream by its assigned requests, pending prompts, slowness and recent errors.
// Lower is better.
func (b *balancer) score(t *target, req placementRequest) float64 {
	load := (float64(t.total()+1) + pendingPromptCost*t.pendingPromptLoad(req)) / float64(slotCount(t, req))
	score := load*max(t.slowness, 1) + errorCost*t.errorRate
	if t.Zone != b.zone && !req.localPlacer {
		score += crossZoneCost
	}
	return score
}

const (
	// pendingPromptCost is the additional weight of a request whose prompt has not been processed:
	// prompt processing stalls all other requests of the upstream.
	pendingPromptCost = 1.5
	// errorCost is the score added to an upstream on which all requests fail.
	errorCost = 4.0
	// sampledCandidates is the size of the random sample from which the best upstream is chosen.
	sampledCandidates = 3
	// crossZoneCost is the score added for an upstream in another failure domain.
	crossZoneCost = 0.02
)

// recordProgress records data received from an upstream after gap, where want was expected. A want
// of 0 leaves the slowness unchanged.
func (b *balancer) recordProgress(now time.Duration, t *target, gap, want time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.lastReceivedAt = now
	t.suspectUntil = 0
	t.consecutiveFailures = 0
	t.unreachable, t.unproven = false, false
	if want > 0 {
		t.slowness += slownessGain * (float64(gap)/float64(want) - t.slowness)
	}
}

// slownessGain and errorGain average over roughly the last 20 samples.
const (
	slownessGain = 0.05
	errorGain    = 0.1
)

// recordAnswer records whether an answer was a success.
func (b *balancer) recordAnswer(now time.Duration, t *target, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.lastReceivedAt = now
	t.unreachable, t.unproven = false, false
	if ok {
		t.consecutiveFailures = 0
		t.backoffUntil, t.rejectedUntil = 0, 0
		t.errorRate -= errorGain * t.errorRate
		return
	}
	t.errorRate += errorGain * (1 - t.errorRate)
}

// recordFailure records that an upstream broke a connection, and backs off from it.
func (b *balancer) recordFailure(now time.Duration, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.backOff(now)
	t.errorRate += errorGain * (1 - t.errorRate)
}

// recordUnreachable records that no connection to an upstream could be opened from here, and backs off
// from it.
func (b *balancer) recordUnreachable(now time.Duration, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.backOff(now)
	t.unreachable = true
}

// isUnproven reports whether it is unknown if the link to an upstream works.
func (b *balancer) isUnproven(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	return t != nil && t.unproven
}

// lacksLinks reports whether an upstream that could serve the request was unreachable from here.
func (b *balancer) lacksLinks(req placementRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.candidates(req), func(t *target) bool { return t.unreachable })
}

// forgetLinkFailures discards failures and suspicions of upstreams that this entry host could not reach. Not
// all links fail or come back together, so that each has to be proven again.
func (b *balancer) forgetLinkFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		t.consecutiveFailures, t.errorRate = 0, 0
		t.backoffUntil, t.suspectUntil = 0, 0
		t.unreachable, t.unproven = false, true
	}
}

// suspect withholds new requests from a head that stopped sending. It returns whether the suspicion
// is new, and how long the head has been silent.
func (b *balancer) suspect(now time.Duration, t *target) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := now >= t.suspectUntil
	if fresh && t.suspectedAt > 0 && t.lastReceivedAt > t.suspectedAt {
		t.falseSuspicions++
	}
	t.suspectedAt = now
	t.suspectUntil = now + suspectDuration
	return fresh, t.silentTime(now)
}

// silenceAndTimeout returns how long an upstream has been silent and how long it may be. Pending
// prompts extend the limit because they are processed first, and so do earlier suspicions that
// proved false.
func (b *balancer) silenceAndTimeout(now time.Duration, t *target, receivedEvents bool) (time.Duration, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := streamingHeadTimeout
	if !receivedEvents {
		bound = firstEventTimeout + time.Duration(t.pendingPrompts())*firstEventTimeoutPerPrompt
	}
	return t.silentTime(now), bound << min(t.falseSuspicions, maxTimeoutDoublings)
}

// progressReportAge is the maximum age of received data that is reported to the coordinator.
const progressReportAge = 2 * time.Second

// localUsage is the usage of heads that this entry host reports, by ID.
type localUsage struct {
	running        map[string]int
	pendingPrompts map[string]int
	progress       map[string]int64 // ms since data was last received from the head
}

// localUsage returns the usage of all heads that this entry host counts.
func (b *balancer) localUsage(now time.Duration) localUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := localUsage{running: map[string]int{}, pendingPrompts: map[string]int{}, progress: map[string]int64{}}
	for id, t := range b.targets {
		if !t.IsOpenHead() {
			continue
		}
		here := t.counted()
		if here.requests > 0 {
			v.running[id] = here.requests
		}
		if here.pendingPrompts > 0 {
			v.pendingPrompts[id] = here.pendingPrompts
		}
		if t.lastReceivedAt > 0 && now-t.lastReceivedAt < progressReportAge {
			v.progress[id] = (now - t.lastReceivedAt).Milliseconds()
		}
	}
	return v
}

// entryCount returns the last reported number of entry hosts.
func (b *balancer) entryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entryHosts
}

// recordRejection records that an upstream rejected a request for lack of capacity.
func (b *balancer) recordRejection(now time.Duration, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.rejectedUntil = now + rejectionBackoff
}

// rejectionBackoff is how long an upstream gets no requests after it rejected one.
const rejectionBackoff = 100 * time.Millisecond

// randomFloat returns a random number in [0,1).
func (b *balancer) randomFloat() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rand.Float64()
}
