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

// keeper is the least that gates need of the keepers: a published view, the
// permit allocator, and leases.
type keeper struct {
	mu     sync.Mutex
	view   *view.View
	permit *permit.Allocator
	leases map[view.GateName]lease
}

// lease is one that may be alive.
type lease struct {
	incarnation view.Incarnation
	until       time.Time
}

func newKeeper(o permit.Options) *keeper {
	return &keeper{view: view.New(), permit: permit.NewAllocator(o), leases: make(map[view.GateName]lease)}
}

// edit publishes a change of the view.
func (k *keeper) edit(change func(v *view.View, r view.Revision)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.editLocked(change)
}

func (k *keeper) editLocked(change func(v *view.View, r view.Revision)) {
	next, err := view.New().Install(k.view.Since(0))
	if err != nil {
		panic(err)
	}
	next.Revision++
	change(next, next.Revision)
	k.view = next
}

// step gives the allocator an event and publishes what it says.
func (k *keeper) step(ev permit.Event) {
	changes := k.permit.Step(view.Time(time.Now().UnixNano()), k.view.Revision+1, ev)
	if len(changes) == 0 {
		return
	}
	k.editLocked(func(v *view.View, r view.Revision) {
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

func (k *keeper) event(ev permit.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.step(ev)
}

// sync takes a gate's report, grants its lease and returns the view.
func (k *keeper) sync(g view.Gate, uses []view.TargetUse, final bool) *view.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[g.Name] = lease{incarnation: g.Incarnation, until: time.Now().Add(leaseTime + leaseMargin)}
	k.step(permit.GateSeen{Gate: g.Name, Incarnation: g.Incarnation})
	k.step(permit.UsageReported{Gate: g.Name, Uses: uses, Final: final})
	if _, ok := k.view.Gates.Get(g.Name); !ok {
		k.editLocked(func(v *view.View, r view.Revision) { v.Gates.Put(g.Name, g, r) })
	}
	return k.view
}

// tick ends leases and lets time pass for the allocator.
func (k *keeper) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.view.Gates.Keys() {
		l, ok := k.leases[g]
		if !ok || time.Now().Before(l.until) {
			continue
		}
		delete(k.leases, g)
		k.editLocked(func(v *view.View, r view.Revision) { v.Gates.Delete(g, r) })
		k.step(permit.GateGone{Gate: g, Incarnation: l.incarnation})
	}
	k.step(permit.Ticked{})
}

// share returns a target's published share.
func (k *keeper) share(id view.GroupID) view.Share {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, _ := k.view.Shares.Get(view.GroupTarget(id))
	return s
}

// drain takes groups out of service, or back in.
func (k *keeper) drain(out bool, ids ...view.GroupID) {
	k.edit(func(v *view.View, r view.Revision) {
		for _, id := range ids {
			g, _ := v.Groups.Get(id)
			g.Draining = out
			v.Groups.Put(id, g, r)
		}
	})
}
