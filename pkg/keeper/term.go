package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/dispatch"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/liveness"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// term holds the leader's volatile state for one term of leadership. It starts from the replicated
// state alone.
type term struct {
	keeper           *Keeper
	number           uint64
	recordedRevision view.Revision // newest revision whose group changes are on the timeline

	mu            sync.Mutex
	leases        *membership.Table
	hosts         *liveness.Tracker
	orders        *dispatch.Dispatcher
	uses          *useTracker
	settled       *settledTracker
	counts        *countTracker
	leaving       map[membership.Session]struct{} // sessions being unregistered, which get no lease
	ordersPending chan struct{}                   // closed and replaced when there are orders to deliver
}

func newTerm(k *Keeper, number uint64) *term {
	now := k.clock.Now()
	var sessions []membership.Session
	var hosts []view.Host
	k.store.Read(func(s *state.State) {
		sessions = append(sessions, s.Sessions()...)
		hosts = s.Hosts()
	})
	if k.unsafe.IgnoreEarlierLeases {
		sessions = nil
	}
	return &term{
		keeper:        k,
		number:        number,
		leases:        membership.NewTable(k.timing.Gates, now, sessions),
		hosts:         liveness.NewTracker(k.timing.Hosts, now, hosts),
		orders:        dispatch.New(k.timing.Orders, now),
		uses:          newUseTracker(),
		settled:       newSettledTracker(),
		counts:        newCountTracker(),
		leaving:       make(map[membership.Session]struct{}),
		ordersPending: make(chan struct{}),
	}
}

// run does the leader's periodic work until ctx ends.
func (t *term) run(ctx context.Context) {
	observe := time.NewTicker(t.keeper.timing.ObserveInterval)
	defer observe.Stop()
	tick := time.NewTicker(t.keeper.timing.TickInterval)
	defer tick.Stop()
	ticked := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			ticked = true
		case <-observe.C:
			t.unregisterLapsed(ctx)
			t.observe(ctx, ticked)
			t.routeOrders()
			t.recordGroupChanges()
			ticked = false
		}
	}
}

// observe proposes to the log what has been observed since the last call.
func (t *term) observe(ctx context.Context, ticked bool) {
	o := t.collectObservation(ticked)
	if o.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.keeper.timing.ProposeTimeout)
	defer cancel()
	if _, err := t.keeper.propose(ctx, state.Command{Observe: &o}); err != nil {
		t.keeper.logger.Warn("observation was not committed; retrying with the next one", "term", t.number, "err", err)
		t.requeueObservation(o)
		return
	}
	for _, h := range o.Seen {
		t.keeper.events.HostSeen(h)
	}
	for _, l := range o.Lost {
		t.keeper.events.HostLost(l.Host, l.Incarnation)
	}
	if o.Barrier > 0 {
		t.keeper.events.BarrierAdvanced(o.Barrier)
	}
}

// collectObservation returns the next observation. Lock order: the term's lock is always taken
// before the store's.
func (t *term) collectObservation(ticked bool) state.Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	o := t.hosts.Collect(now)
	o.Tick = ticked
	o.Counts = t.counts.collect()
	t.keeper.store.Read(func(s *state.State) {
		o.Reports = slices.DeleteFunc(o.Reports, s.IsRedundantReport)
		o.Uses = t.uses.collect(s.ShareChangedAt)
		barrier := t.barrier(now, s.Revision())
		if barrier > s.Barrier() {
			o.Barrier = barrier
		}
		if ticked {
			t.counts.setWanted(s.OrphanedTargets())
		}
		draining, since := s.DrainingGroups()
		o.Settled = t.settled.collect(draining, since, max(barrier, s.Barrier()), t.leaseHolders(now))
	})
	return o
}

// barrier returns the revision that is in force on every gate that may take work.
func (t *term) barrier(now clock.Moment, current view.Revision) view.Revision {
	if t.keeper.unsafe.NoBarrier {
		return current
	}
	return t.leases.Barrier(now, current)
}

// leaseHolders returns the sessions whose leases may still be valid.
func (t *term) leaseHolders(now clock.Moment) []membership.Session {
	return t.leases.Behind(now, ^view.Revision(0))
}

// requeueObservation lets the next observation include what an uncommitted one held. Nothing is
// stored that the trackers can report again.
func (t *term) requeueObservation(o state.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts.Requeue(o)
	t.uses.markAllChanged()
	t.settled.retry(o.Settled)
}

// unregisterLapsed unregisters the gates whose leases have certainly lapsed. Such a session gets no
// lease until it registers again.
func (t *term) unregisterLapsed(ctx context.Context) {
	t.mu.Lock()
	lapsed := t.leases.Lapsed(t.keeper.clock.Now())
	for _, s := range lapsed {
		t.leaving[s] = struct{}{}
	}
	t.mu.Unlock()
	for _, s := range lapsed {
		t.unregister(ctx, s)
	}
}

// unregister removes one session from the replicated state. The caller has marked it as leaving.
func (t *term) unregister(ctx context.Context, s membership.Session) {
	ctx, cancel := context.WithTimeout(ctx, t.keeper.timing.ProposeTimeout)
	defer cancel()
	if _, err := t.keeper.propose(ctx, state.Command{GateGone: &s}); err != nil {
		// The command may still be committed, so the session stays marked as leaving. The next
		// call of unregisterLapsed retries.
		t.keeper.logger.Warn("cannot unregister gate; retrying", "gate", s.Gate, "err", err)
		return
	}
	t.mu.Lock()
	t.leases.Remove(s)
	t.uses.remove(s.Gate)
	t.settled.remove(s)
	delete(t.leaving, s)
	t.mu.Unlock()
	t.keeper.events.GateLeft(s)
	t.keeper.logger.Info("gate unregistered", "gate", s.Gate, "incarnation", s.Incarnation)
}

// routeOrders assigns the orders in effect to the gates that hear from the orders' hosts.
func (t *term) routeOrders() {
	var orders []order.Order
	t.keeper.store.Read(func(s *state.State) { orders = s.Orders() })
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	t.orders.Trim(now)
	t.orders.Route(now, orders, t.hosts.ReportingSession)
	if t.orders.HasAnyPending() {
		close(t.ordersPending)
		t.ordersPending = make(chan struct{})
	}
}

// recordGroupChanges records group changes since the last call on the timeline.
func (t *term) recordGroupChanges() {
	var changed []view.Entry[view.GroupID, view.Group]
	t.keeper.store.Read(func(s *state.State) {
		if s.Revision() == t.recordedRevision {
			return
		}
		changed = s.GroupsSince(t.recordedRevision)
		t.recordedRevision = s.Revision()
	})
	for _, e := range changed {
		t.keeper.events.GroupChanged(e.Value, e.Changed)
	}
}

// takeOrders returns the orders to deliver through a session.
func (t *term) takeOrders(s membership.Session) []order.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	orders := t.orders.Take(t.keeper.clock.Now(), s)
	for _, o := range orders {
		t.keeper.events.OrderIssued(o, s.Gate)
	}
	return orders
}

// pendingOrders reports whether orders wait for a session. The channel is closed when orders wait
// for any gate.
func (t *term) pendingOrders(s membership.Session) (<-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ordersPending, t.orders.HasPending(s)
}

// ingest processes the reports in a sync request. It reports whether the gate must resend all
// announcements.
func (t *term) ingest(s membership.Session, req *control.GateSyncRequest) (resend bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	t.hosts.HandleGateReport(now)
	for _, h := range req.Contacts {
		if !t.hosts.HandleAnnouncement(now, s, h) {
			resend = true
		}
	}
	for _, g := range req.Unreachable {
		t.hosts.HandleRefusal(g)
	}
	for _, r := range req.OrderResults {
		t.orders.HandleResult(now, r)
	}
	t.uses.record(s.Gate, req.Uses)
	t.settled.record(s, req.InForce, req.SettledGroups)
	t.counts.record(req.TargetCounts)
	return resend
}
