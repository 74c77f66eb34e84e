package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// give sends the orders that a leader computes from its state. None arrives
// after its deadline.
func (w *World) give(m *group.Machine) {
	for _, o := range m.Orders(view.Time(w.now)) {
		w.sendOrder(o)
		if !w.calm && w.rng.IntN(3) == 0 {
			w.sendOrder(o)
		}
	}
}

func (w *World) sendOrder(o order.Order) {
	w.net.send(message{host: o.Host, order: &o, at: w.now + w.delay(orderTTL)})
}

// depose makes the leader's present state one that a deposed leader keeps
// giving orders from until its lease ends.
func (w *World) depose() {
	if !w.deposes {
		return
	}
	old := group.NewMachine(w.opts)
	snapshot, err := w.machine.Snapshot()
	if err == nil {
		err = old.Restore(snapshot)
	}
	if err != nil {
		w.fail("depose: %v", err)
		return
	}
	w.deposed = append(w.deposed, deposedLeader{machine: old, until: w.now + leaderLease})
}

// giveOld lets deposed leaders give orders.
func (w *World) giveOld() {
	kept := w.deposed[:0]
	for _, d := range w.deposed {
		if w.now >= d.until {
			continue
		}
		kept = append(kept, d)
		if w.rng.IntN(3) == 0 {
			w.giveLate(d.machine)
		}
	}
	w.deposed = kept
}

// giveLate sends orders that arrive just before their deadline.
func (w *World) giveLate(m *group.Machine) {
	for _, o := range m.Orders(view.Time(w.now)) {
		w.net.send(message{host: o.Host, order: &o, at: w.now + orderTTL - time.Millisecond})
	}
}

// orderArrived hands an order to an engine.
func (w *World) orderArrived(e *engine, o order.Order) {
	was := e.status
	if !e.obey(o) {
		return
	}
	key := instance{was.Group, was.Epoch}
	w.checkDisturbed(e, was)
	left := e.status.Group != was.Group || e.status.Epoch != was.Epoch
	if left && w.running[key] > w.now && w.current[was.Group].Epoch == was.Epoch {
		w.fail("%s left %v while work runs on it", e.host.Name, key)
	}
}

// syncGates renews leases and brings views up to date.
func (w *World) syncGates() {
	for _, g := range w.gates {
		if w.now < g.nextSync || w.now < g.cutUntil {
			continue
		}
		g.acked = g.inForce
		g.inForce = w.rev
		g.leaseUntil = w.now + gateLease
		g.nextSync = w.now + tick + w.delay(gateLease/2)
	}
	w.tellBarrier()
}

// tellBarrier tells the machine which revision no gate is behind.
func (w *World) tellBarrier() {
	barrier := w.rev
	for _, g := range w.gates {
		if g.counted(w.now) {
			barrier = min(barrier, g.acked)
		}
	}
	if w.rng.IntN(3) == 0 {
		w.step(group.BarrierPassed{Revision: barrier})
	}
}
