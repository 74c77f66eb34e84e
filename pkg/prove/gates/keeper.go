package gates

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	leaseTime   = 3 * time.Second
	leaseMargin = 100 * time.Millisecond
	keeperTick  = 100 * time.Millisecond
)

// keeper provides the minimum that gates need from the keepers: a published view, the
// permit allocator, and leases.
type keeper struct {
	mu     sync.Mutex
	view   *view.View
	permit *permit.Allocator
	leases map[view.GateName]lease
}

// lease is a gate's lease that may be valid.
type lease struct {
	incarnation view.Incarnation
	until       time.Time
}

func newKeeper(o permit.Options) *keeper {
	return &keeper{view: view.New(), permit: permit.NewAllocator(o), leases: make(map[view.GateName]lease)}
}

// update publishes a change of the view.
func (k *keeper) update(change func(v *view.View, r view.Revision)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateLocked(change)
}

func (k *keeper) updateLocked(change func(v *view.View, r view.Revision)) {
	next, err := view.New().Install(k.view.Since(0))
	if err != nil {
		panic(err)
	}
	next.Revision++
	change(next, next.Revision)
	k.view = next
}

// applyLocked applies an event to the allocator and publishes the changes.
func (k *keeper) applyLocked(ev permit.Event) {
	changes := k.permit.Step(view.Time(time.Now().UnixNano()), k.view.Revision+1, ev)
	if len(changes) == 0 {
		return
	}
	k.updateLocked(func(v *view.View, r view.Revision) {
		for _, c := range changes {
			switch c := c.(type) {
			case permit.PutShare:
				v.Shares.Put(c.Share.Target, c.Share, r)
			case permit.DeleteShare:
				v.Shares.Delete(c.Target, r)
			}
		}
	})
}

func (k *keeper) apply(ev permit.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyLocked(ev)
}

// sync handles a gate's report, grants its lease and returns the view.
func (k *keeper) sync(g view.Gate, uses []view.TargetUse, final bool) *view.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[g.Name] = lease{incarnation: g.Incarnation, until: time.Now().Add(leaseTime + leaseMargin)}
	k.applyLocked(permit.GateSeen{Gate: g.Name, Incarnation: g.Incarnation})
	k.applyLocked(permit.UsageReported{Gate: g.Name, Uses: uses, Final: final})
	if _, ok := k.view.Gates.Get(g.Name); !ok {
		k.updateLocked(func(v *view.View, r view.Revision) { v.Gates.Put(g.Name, g, r) })
	}
	return k.view
}

// tick ends lapsed leases and advances the allocator's time.
func (k *keeper) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.view.Gates.Keys() {
		l, ok := k.leases[g]
		if !ok || time.Now().Before(l.until) {
			continue
		}
		delete(k.leases, g)
		k.updateLocked(func(v *view.View, r view.Revision) { v.Gates.Delete(g, r) })
		k.applyLocked(permit.GateGone{Gate: g, Incarnation: l.incarnation})
	}
	k.applyLocked(permit.Ticked{})
}

// share returns a target's published share.
func (k *keeper) share(id view.GroupID) view.Share {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, _ := k.view.Shares.Get(view.GroupTarget(id))
	return s
}

// drain drains or restores groups.
func (k *keeper) drain(out bool, ids ...view.GroupID) {
	k.update(func(v *view.View, r view.Revision) {
		for _, id := range ids {
			g, _ := v.Groups.Get(id)
			g.Draining = out
			v.Groups.Put(id, g, r)
		}
	})
}
