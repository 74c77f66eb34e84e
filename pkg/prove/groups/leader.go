package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// sendOrders sends the orders that a leader computes from its state, some of them
// twice. None arrives after its deadline.
func (w *World) sendOrders(m *group.Machine) {
	for _, o := range m.Orders(view.Time(w.now)) {
		w.sendOrder(o)
		if !w.noDisturbance && w.rng.IntN(3) == 0 {
			w.sendOrder(o)
		}
	}
}

func (w *World) sendOrder(o order.Order) {
	w.net.send(message{host: o.Host, order: &o, at: w.now + w.delay(orderTTL)})
}

// depose copies the leader's state into a deposed leader, which sends orders from it
// until its lease ends.
func (w *World) depose() {
	if !w.deposeLeaders {
		return
	}
	old := group.NewMachine(w.opts)
	snapshot, err := w.machine.Snapshot()
	if err == nil {
		err = old.Restore(snapshot)
	}
	if err != nil {
		w.fail("copy the leader's state for a deposed leader: %v", err)
		return
	}
	w.deposed = append(w.deposed, deposedLeader{machine: old, until: w.now + leaderLease})
}

// sendDeposedOrders sends the orders of deposed leaders whose leases have not ended.
func (w *World) sendDeposedOrders() {
	kept := w.deposed[:0]
	for _, d := range w.deposed {
		if w.now >= d.until {
			continue
		}
		kept = append(kept, d)
		if w.rng.IntN(3) == 0 {
			w.sendLateOrders(d.machine)
		}
	}
	w.deposed = kept
}

// sendLateOrders sends orders that arrive just before their deadline.
func (w *World) sendLateOrders(m *group.Machine) {
	for _, o := range m.Orders(view.Time(w.now)) {
		w.net.send(message{host: o.Host, order: &o, at: w.now + orderTTL - time.Millisecond})
	}
}

// orderArrived delivers an order to an engine.
func (w *World) orderArrived(e *engine, o order.Order) {
	was := e.status
	if !e.execute(o) {
		return
	}
	key := instance{was.Group, was.Epoch}
	w.checkOrderEffect(e, was)
	left := e.status.Group != was.Group || e.status.Epoch != was.Epoch
	if left && w.running[key] > w.now && w.current[was.Group].Epoch == was.Epoch {
		w.fail("host %s left %v while requests run on that group", e.host.Name, key)
	}
}

// syncGates renews the gates' leases and updates their views.
func (w *World) syncGates() {
	for _, g := range w.gates {
		if w.now < g.nextSync || w.now < g.isolatedUntil {
			continue
		}
		g.acked = g.inForce
		g.inForce = w.rev
		g.leaseUntil = w.now + gateLease
		g.nextSync = w.now + tick + w.delay(gateLease/2)
	}
	w.reportBarrier()
}

// reportBarrier reports to the machine the revision that every gate has reached.
func (w *World) reportBarrier() {
	barrier := w.rev
	for _, g := range w.gates {
		if g.leaseCounted(w.now) {
			barrier = min(barrier, g.acked)
		}
	}
	if w.rng.IntN(3) == 0 {
		w.step(group.BarrierPassed{Revision: barrier})
	}
}
