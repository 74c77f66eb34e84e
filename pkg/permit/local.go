package permit

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Local is one gate's use of its permits.
type Local struct {
	gate view.GateName

	mu       sync.Mutex
	revision view.Revision
	uses     map[view.TargetID]*use
}

// use is the gate's work on one target.
type use struct {
	share   view.Share
	permits int  // published for this gate
	listed  bool // the share names this gate
	counts  map[view.Incarnation]*counts
	queued  int
}

// counts is the gate's work on one incarnation of a target.
type counts struct {
	inFlight int
	started  int // of those in flight, that went to the target
	finished uint64
	failed   uint64
	suspect  bool
	falls    int // of the share when it became suspect
}

// NewLocal returns the permits of a gate before its first view.
func NewLocal(gate view.GateName) *Local {
	return &Local{gate: gate, uses: make(map[view.TargetID]*use)}
}

// Install brings the shares of a view into force.
func (l *Local) Install(v *view.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Revision < l.revision {
		return
	}
	l.revision = v.Revision
	for id, u := range l.uses {
		if _, ok := v.Shares.Get(id); !ok {
			u.clearShare()
		}
	}
	for id, e := range v.Shares.Entries {
		l.install(id, e.Value)
	}
	for id, u := range l.uses {
		if u.empty() {
			delete(l.uses, id)
		}
	}
}

func (l *Local) install(id view.TargetID, s view.Share) {
	permits, listed := shareOf(s, l.gate)
	u := l.uses[id]
	if u == nil && !listed {
		return
	}
	u = l.use(id)
	u.share, u.permits, u.listed = s, permits, listed
	c := u.of(s.Incarnation)
	if c.suspect && s.ColdResets != c.falls {
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

func (l *Local) use(id view.TargetID) *use {
	u := l.uses[id]
	if u == nil {
		u = &use{counts: make(map[view.Incarnation]*counts)}
		l.uses[id] = u
	}
	return u
}

func (u *use) of(inc view.Incarnation) *counts {
	c := u.counts[inc]
	if c == nil {
		c = &counts{}
		u.counts[inc] = c
	}
	return c
}

func (u *use) clearShare() {
	u.share, u.permits, u.listed = view.Share{}, 0, false
}

func (u *use) empty() bool {
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

// limit is the work that may be in flight on the share's incarnation. While
// the target is suspected it is this gate's part of the cold bound, rounded
// down, so that all gates together stay within it.
func (u *use) limit(c *counts) int {
	if !c.suspect || u.share.Bound == 0 {
		return u.permits
	}
	return min(u.permits, u.permits*u.share.Cold/u.share.Bound)
}

// TryAcquire takes a permit, if the share is for this incarnation and leaves
// one free.
func (l *Local) TryAcquire(id view.TargetID, inc view.Incarnation) (*Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free(id, inc) <= 0 {
		return nil, false
	}
	l.uses[id].of(inc).inFlight++
	return &Permit{Target: id, Incarnation: inc, local: l}, true
}

// Free returns how many permits are free.
func (l *Local) Free(id view.TargetID, inc view.Incarnation) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.free(id, inc))
}

// Capacity returns how many permits are free and the gate's own work in flight.
func (l *Local) Capacity(id view.TargetID, inc view.Incarnation) (free, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[id]
	if u == nil {
		return 0, 0
	}
	if c := u.counts[inc]; c != nil {
		inFlight = c.inFlight
	}
	return max(0, l.free(id, inc)), inFlight
}

func (l *Local) free(id view.TargetID, inc view.Incarnation) int {
	u := l.uses[id]
	if u == nil || u.share.Incarnation != inc {
		return 0
	}
	c := u.of(inc)
	return u.limit(c) - c.inFlight
}

func (l *Local) start(p *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use(p.Target)
	c := u.of(p.Incarnation)
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
	c := l.use(p.Target).of(p.Incarnation)
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

// Suspect marks a target that reset or refused a connection, or that behaves
// as if freshly started. It falls to its cold share until the allocator has
// answered with a fall or another incarnation.
func (l *Local) Suspect(id view.TargetID, inc view.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[id]
	if u == nil || u.share.Incarnation != inc {
		return
	}
	c := u.of(inc)
	c.suspect = true
	c.falls = u.share.ColdResets
}

// SetQueued tells how many requests wait that could run on a target.
func (l *Local) SetQueued(id view.TargetID, inc view.Incarnation, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[id]
	if u == nil && n == 0 {
		return
	}
	u = l.use(id)
	u.queued = n
	if u.share.Incarnation == 0 {
		u.share.Incarnation = inc
	}
}

// Usage tells the gate's work on every target that it has or had a part of, in
// target order. All of one call is counted at one view revision.
func (l *Local) Usage() []view.TargetUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]view.TargetUse, 0, len(l.uses))
	for id, u := range l.uses {
		inc := u.share.Incarnation
		if inc == 0 {
			continue
		}
		c := u.of(inc)
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
