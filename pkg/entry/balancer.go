package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// reason says why no upstream was chosen.
type reason string

const (
	noReason     reason = ""
	noUpstream   reason = "no upstream serves it"
	allFull      reason = "all upstreams are full"
	allFailing   reason = "all upstreams were tried or fail"
	coldBound    reason = "cold upstreams bear no more requests"
	budgetSpent  reason = "budget of repeats is spent"
	timeIsOver   reason = "no time is left"
	noDocument   reason = "no document is in force yet"
	unknownRoute reason = "no route matches"
	unknownKey   reason = "unknown API key"
)

// balancer chooses upstreams by what is known of them.
type balancer struct {
	mu       sync.Mutex
	targets  map[string]*target
	evacuate map[string]bool
	name     string // of this entry host
	zone     string
	entries  int // entry hosts in all

	coldFactor, coldSlack float64
	lastFull              map[string]time.Duration // by model that this entry host places: when a request was refused as one too many
	rand                  *rand.Rand
}

func newBalancer(cfg Config) *balancer {
	return &balancer{
		targets:    map[string]*target{},
		evacuate:   map[string]bool{},
		name:       cfg.Name,
		zone:       cfg.Zone,
		entries:    1,
		lastFull:   map[string]time.Duration{},
		coldFactor: cfg.ColdFactor,
		coldSlack:  cfg.ColdSlack,
		rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// wish is what a request needs of an upstream.
type wish struct {
	service *catalog.Service
	model   string // of an engine service
	tokens  int    // of the prompt
	tried   map[string]bool
	places  bool // this entry host places all requests of the model
	resumes bool // a stream that has begun goes on; it goes before new requests
}

// choose picks an upstream and counts the request there; done must be called
// for the place. Load: many callers at once on few heads, heads that die, cold
// ones.
func (b *balancer) choose(now time.Duration, w wish) (*place, reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *target
	bestScore := 0.0
	why := noUpstream
	var able []*target
	for _, t := range b.candidates(w) {
		if r := b.refuses(now, t, w); r != noReason {
			if soonest[r] > soonest[why] {
				why = r
			}
			continue
		}
		able = append(able, t)
	}
	if len(able) == 0 {
		if why == allFull && w.places && !w.resumes {
			b.lastFull[w.model] = now
		}
		return nil, why
	}
	b.rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	if !w.places {
		// The best of a few drawn at random: entry hosts that know the same old
		// counts would all choose the same best one.
		able = able[:min(len(able), drawn)]
	}
	for _, t := range able {
		if score := b.score(t, w); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return b.hold(now, best, w.tokens), noReason
}

// soonest orders the reasons: of two, the one that passes sooner is told.
var soonest = map[reason]int{noUpstream: 0, allFailing: 1, coldBound: 2, allFull: 3}

// candidates returns the upstreams that could serve a request at all.
func (b *balancer) candidates(w wish) []*target {
	var ts []*target
	for _, t := range b.targets {
		if b.serves(t, w) {
			ts = append(ts, t)
		}
	}
	return ts
}

func (b *balancer) refuses(now time.Duration, t *target, w wish) reason {
	switch {
	case b.avoids(now, t, w):
		return allFailing
	case !b.mayStart(now, t, w):
		return coldBound
	case t.total() >= b.room(now, t, w):
		return allFull
	}
	return noReason
}

// slotsOf returns how many requests run at once at an upstream, 1 or more.
func slotsOf(t *target, w wish) int {
	if w.service.Engine != nil && w.service.Engine.Slots > 0 {
		return w.service.Engine.Slots
	}
	return max(t.Slots, 1)
}

// room returns how many requests may be at an upstream: what runs at once and
// some that wait there. Counts that are late need a few for places not to stay
// empty while news travels. Where they are exact, many may wait while a burst
// passes; when that was not enough, few, until there is room again: in a queue
// that stays long all requests are late, and no more of them are served.
func (b *balancer) room(now time.Duration, t *target, w wish) int {
	part := waitByLateCounts
	switch {
	case w.places && b.overloaded(now, w):
		part = waitInOverload
	case w.places:
		part = waitInBurst
	}
	slots := slotsOf(t, w)
	room := slots + max(int(part*float64(slots)), 1)
	if w.resumes {
		room += int(resumeRoom * float64(room))
	}
	return room
}

const (
	// waitByLateCounts, waitInBurst and waitInOverload are the parts of the slots
	// that may wait at a head: half of them take a second or so to be served,
	// which still leaves a late answer, an eighth less than an objective.
	waitByLateCounts = 0.25
	waitInBurst      = 0.5
	waitInOverload   = 0.125
	// resumeRoom is the part of the room that streams which go on have beyond it.
	resumeRoom = 0.25
	// overloadFor is how long after a refusal few requests may wait; each further
	// refusal prolongs it.
	overloadFor = 500 * time.Millisecond
)

// overloaded tells whether requests for a model were refused lately because all
// heads were full.
func (b *balancer) overloaded(now time.Duration, w wish) bool {
	at, ever := b.lastFull[w.model]
	return ever && now-at < overloadFor
}

// score rates an upstream: the requests there, what it still has to read, how
// slowly it runs, and what lately failed.
func (b *balancer) score(t *target, w wish) float64 {
	load := (float64(t.total()+1) + unreadCost*t.unreadPrompts(w)) / float64(slotsOf(t, w))
	score := load*max(t.slowness, 1) + errorCost*t.errorRate
	if t.Zone != b.zone && !w.places {
		score += farCost
	}
	return score
}

const (
	// unreadCost is how much more a request counts whose prompt is not read
	// yet: reading holds up all others at the upstream.
	unreadCost = 1.5
	// errorCost is the load that an upstream that fails everything seems to
	// carry.
	errorCost = 4.0
	// drawn is the number of upstreams among which the best is chosen.
	drawn = 3
	// farCost is the load that a way to another failure domain is worth.
	farCost = 0.02
)

// progress notes that something came from an upstream, after gap and where
// want was expected; want 0 tells nothing of its speed.
func (b *balancer) progress(now time.Duration, t *target, gap, want time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.lastByte = now
	t.suspectUntil = 0
	t.failures = 0
	if want > 0 {
		t.slowness += slownessGain * (float64(gap)/float64(want) - t.slowness)
	}
}

// slownessGain and errorGain smooth over the last twenty or so samples.
const (
	slownessGain = 0.05
	errorGain    = 0.1
)

// answered notes how an answer ended.
func (b *balancer) answered(now time.Duration, t *target, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.lastByte = now
	if ok {
		t.failures = 0
		t.backoffUntil = 0
		t.errorRate -= errorGain * t.errorRate
		return
	}
	t.errorRate += errorGain * (1 - t.errorRate)
}

// failed notes that an upstream could not be reached or broke off.
func (b *balancer) failed(now time.Duration, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := min(backoffFirst<<min(t.failures, 5), backoffMost)
	t.failures++
	t.backoffUntil = now + pause
	t.errorRate += errorGain * (1 - t.errorRate)
}

// suspect keeps new requests from a head that went silent. It tells whether
// that is news, and for how long it has been silent.
func (b *balancer) suspect(now time.Duration, t *target) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := now >= t.suspectUntil
	if fresh && t.suspectedAt > 0 && t.lastByte > t.suspectedAt {
		t.alarms++
	}
	t.suspectedAt = now
	t.suspectUntil = now + suspectFor
	return fresh, t.silence(now)
}

// silence returns how long nothing came from an upstream, and how long that may
// be: the prompts that wait there are read first, and a head that was suspected
// without cause gets more time.
func (b *balancer) silence(now time.Duration, t *target, writes bool) (time.Duration, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := silentHead
	if !writes {
		bound = silentFirst + time.Duration(t.unread())*silentPrompt
	}
	return t.silence(now), bound << min(t.alarms, alarmsMost)
}

// progressTold is the age up to which a head's last byte is told.
const progressTold = 2 * time.Second

// told is what an entry host says of the heads that it uses, by ID.
type told struct {
	running  map[string]int
	unread   map[string]int
	progress map[string]int64 // ms since the head last sent something
}

// tell returns what this entry host knows of the heads that it uses.
func (b *balancer) tell(now time.Duration) told {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := told{running: map[string]int{}, unread: map[string]int{}, progress: map[string]int64{}}
	for id, t := range b.targets {
		if !t.IsOpenHead() {
			continue
		}
		here := t.counted()
		if here.requests > 0 {
			v.running[id] = here.requests
		}
		if here.unread > 0 {
			v.unread[id] = here.unread
		}
		if t.lastByte > 0 && now-t.lastByte < progressTold {
			v.progress[id] = (now - t.lastByte).Milliseconds()
		}
	}
	return v
}

// entryCount returns the number of entry hosts as last told.
func (b *balancer) entryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries
}

// full notes that an upstream refused a request as one too many.
func (b *balancer) full(now time.Duration, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.backoffUntil = now + fullPause
}

// fullPause is how long an upstream that refused a request gets no other.
const fullPause = 100 * time.Millisecond

// float returns a random number in [0,1).
func (b *balancer) float() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rand.Float64()
}

// elsewhere tells whether another upstream could take a request.
func (b *balancer) elsewhere(now time.Duration, w wish) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.candidates(w) {
		if b.refuses(now, t, w) == noReason {
			return true
		}
	}
	return false
}
