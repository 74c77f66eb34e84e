package permit

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Local tracks one gate's permits and their use. It is safe for concurrent use.
type Local struct {
	gate view.GateName

	mu       sync.Mutex
	revision view.Revision
	usages   map[view.TargetID]*usage
}

// usage is the gate's work on one target.
type usage struct {
	share   view.Share
	permits int  // of this gate in the share
	listed  bool // the share names this gate
	counts  map[view.Incarnation]*counts
	queued  int
}

// counts is the gate's work on one incarnation of a target.
type counts struct {
	inFlight   int
	started    int // those in flight whose first byte was sent
	finished   uint64
	failed     uint64
	suspect    bool
	coldResets int // ColdResets of the share when the target became suspect
}

// NewLocal returns a gate's state before its first view.
func NewLocal(gate view.GateName) *Local {
	return &Local{gate: gate, usages: make(map[view.TargetID]*usage)}
}

// Install puts the shares of a view in force.
func (l *Local) Install(v *view.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Revision < l.revision {
		return
	}
	l.revision = v.Revision
	for id, u := range l.usages {
		if _, ok := v.Shares.Get(id); !ok {
			u.clearShare()
		}
	}
	for id, e := range v.Shares.Entries {
		l.install(id, e.Value)
	}
	for id, u := range l.usages {
		if u.unused() {
			delete(l.usages, id)
		}
	}
}

func (l *Local) install(id view.TargetID, s view.Share) {
	permits, listed := shareOf(s, l.gate)
	u := l.usages[id]
	if u == nil && !listed {
		return
	}
	u = l.usageOf(id)
	u.share, u.permits, u.listed = s, permits, listed
	c := u.countsOf(s.Incarnation)
	if c.suspect && s.ColdResets != c.coldResets {
		c.suspect = false
	}
	for inc, c := range u.counts {
		if inc != s.Incarnation && c.inFlight == 0 {
			delete(u.counts, inc)
		}
	}
}

func shareOf(s view.Share, g view.GateName) (permits int, listed bool) {
	i, ok := slices.BinarySearchFunc(s.Gates, g, func(s view.GateShare, g view.GateName) int {
		return cmp.Compare(s.Gate, g)
	})
	if !ok {
		return 0, false
	}
	return s.Gates[i].Permits, true
}

func (l *Local) usageOf(id view.TargetID) *usage {
	u := l.usages[id]
	if u == nil {
		u = &usage{counts: make(map[view.Incarnation]*counts)}
		l.usages[id] = u
	}
	return u
}

func (u *usage) countsOf(inc view.Incarnation) *counts {
	c := u.counts[inc]
	if c == nil {
		c = &counts{}
		u.counts[inc] = c
	}
	return c
}

func (u *usage) clearShare() {
	u.share, u.permits, u.listed = view.Share{}, 0, false
}

func (u *usage) unused() bool {
	if u.listed || u.queued > 0 {
		return false
	}
	for _, c := range u.counts {
		if c.inFlight > 0 || c.suspect {
			return false
		}
	}
	return true
}

// limit returns how many requests may be in flight on the share's incarnation.
// While the target is suspected, it is this gate's part of the cold bound, rounded
// down, so that all gates together stay within that bound.
func (u *usage) limit(c *counts) int {
	if !c.suspect || u.share.Bound == 0 {
		return u.permits
	}
	return min(u.permits, u.permits*u.share.Cold/u.share.Bound)
}

// TryAcquire acquires a permit if the share is for this incarnation and has a free
// one.
func (l *Local) TryAcquire(id view.TargetID, inc view.Incarnation) (*Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free(id, inc) <= 0 {
		return nil, false
	}
	l.usages[id].countsOf(inc).inFlight++
	return &Permit{Target: id, Incarnation: inc, local: l}, true
}

// Free returns the number of free permits.
func (l *Local) Free(id view.TargetID, inc view.Incarnation) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.free(id, inc))
}

// Capacity returns the number of free permits and the gate's own requests in
// flight.
func (l *Local) Capacity(id view.TargetID, inc view.Incarnation) (free, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usages[id]
	if u == nil {
		return 0, 0
	}
	if c := u.counts[inc]; c != nil {
		inFlight = c.inFlight
	}
	return max(0, l.free(id, inc)), inFlight
}

func (l *Local) free(id view.TargetID, inc view.Incarnation) int {
	u := l.usages[id]
	if u == nil || u.share.Incarnation != inc {
		return 0
	}
	c := u.countsOf(inc)
	return u.limit(c) - c.inFlight
}

func (l *Local) start(p *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(p.Target)
	c := u.countsOf(p.Incarnation)
	if u.share.Incarnation != p.Incarnation || c.started >= u.limit(c) {
		return false
	}
	c.started++
	p.started = true
	return true
}

func (l *Local) release(p *Permit, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.usageOf(p.Target).countsOf(p.Incarnation)
	c.inFlight--
	if p.started {
		c.started--
	}
	switch end {
	case EndFinished:
		c.finished++
	case EndFailed:
		c.failed++
	case EndInconclusive:
	}
}

// Suspect marks a target that reset or refused a connection, or that behaves as if
// just started. The gate stays within its part of the cold bound until the
// allocator has responded with a reset to cold or another incarnation.
func (l *Local) Suspect(id view.TargetID, inc view.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usages[id]
	if u == nil || u.share.Incarnation != inc {
		return
	}
	c := u.countsOf(inc)
	c.suspect = true
	c.coldResets = u.share.ColdResets
}

// SetQueued sets the number of queued requests that could run on a target.
func (l *Local) SetQueued(id view.TargetID, inc view.Incarnation, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usages[id]
	if u == nil && n == 0 {
		return
	}
	u = l.usageOf(id)
	u.queued = n
	if u.share.Incarnation == 0 {
		u.share.Incarnation = inc
	}
}

// Usage returns the gate's work on every target of which it has or had a part,
// sorted by target. All counts of one call are taken at one view revision.
func (l *Local) Usage() []view.TargetUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]view.TargetUse, 0, len(l.usages))
	for id, u := range l.usages {
		inc := u.share.Incarnation
		if inc == 0 {
			continue
		}
		c := u.countsOf(inc)
		list = append(list, view.TargetUse{
			Target:      id,
			Incarnation: inc,
			InForce:     l.revision,
			InFlight:    c.inFlight,
			Queued:      u.queued,
			Finished:    c.finished,
			Failed:      c.failed,
			Suspect:     c.suspect,
		})
	}
	slices.SortFunc(list, func(a, b view.TargetUse) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
