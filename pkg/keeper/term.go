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

// term is one time of leading. All its accounts start anew, from the
// replicated state alone.
type term struct {
	keeper   *Keeper
	number   uint64
	recorded view.Revision // up to which group changes are on the time line

	mu      sync.Mutex
	leases  *membership.Table
	hosts   *liveness.Tracker
	orders  *dispatch.Dispatcher
	uses    *useAccount
	settled *settledAccount
	counts  *countAccount
	leaving map[membership.Session]struct{} // being unregistered; get no lease
	news    chan struct{}                   // closed and replaced when orders wait
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
		keeper:  k,
		number:  number,
		leases:  membership.NewTable(k.timing.Gates, now, sessions),
		hosts:   liveness.NewTracker(k.timing.Hosts, now, hosts),
		orders:  dispatch.New(k.timing.Orders, now),
		uses:    newUseAccount(),
		settled: newSettledAccount(),
		counts:  newCountAccount(),
		leaving: make(map[membership.Session]struct{}),
		news:    make(chan struct{}),
	}
}

// run does the periodic duties of a leader until ctx ends.
func (t *term) run(ctx context.Context) {
	collect := time.NewTicker(t.keeper.timing.ObserveInterval)
	defer collect.Stop()
	tick := time.NewTicker(t.keeper.timing.TickInterval)
	defer tick.Stop()
	ticked := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			ticked = true
		case <-collect.C:
			t.unregisterLapsed(ctx)
			t.observe(ctx, ticked)
			t.route()
			t.recordGroups()
			ticked = false
		}
	}
}

// observe puts what was learned since the last time into the log.
func (t *term) observe(ctx context.Context, ticked bool) {
	o := t.collect(ticked)
	if o.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.keeper.timing.ProposeTimeout)
	defer cancel()
	if _, err := t.keeper.propose(ctx, state.Command{Observe: &o}); err != nil {
		t.keeper.logger.Warn("observation was not committed", "term", t.number, "err", err)
		t.restoreObservation(o)
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

// collect gathers the next observation. The term's lock goes before the
// store's, here as everywhere.
func (t *term) collect(ticked bool) state.Observation {
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
			t.counts.want(s.OrphanedTargets())
		}
		draining, since := s.DrainingGroups()
		o.Settled = t.settled.collect(draining, since, max(barrier, s.Barrier()), t.holders(now))
	})
	return o
}

// barrier returns the revision that is in force wherever work is taken.
func (t *term) barrier(now clock.Moment, current view.Revision) view.Revision {
	if t.keeper.unsafe.NoBarrier {
		return current
	}
	return t.leases.Barrier(now, current)
}

// holders lists the sessions whose leases may be alive.
func (t *term) holders(now clock.Moment) []membership.Session {
	return t.leases.Behind(now, ^view.Revision(0))
}

// restoreObservation keeps an observation that did not enter the log for the
// next time. What the tracker can tell again is not kept.
func (t *term) restoreObservation(o state.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts.Requeue(o)
	t.uses.reset()
	t.settled.retry(o.Settled)
}

// unregisterLapsed forgets gates whose leases have lapsed for sure. A session
// that is being forgotten gets no lease until it registers again.
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

// unregister takes one session out of the replicated state. The caller has
// marked it as leaving.
func (t *term) unregister(ctx context.Context, s membership.Session) {
	ctx, cancel := context.WithTimeout(ctx, t.keeper.timing.ProposeTimeout)
	defer cancel()
	if _, err := t.keeper.propose(ctx, state.Command{GateGone: &s}); err != nil {
		// It may yet be committed, so the session stays marked; the next
		// collection tries again.
		t.keeper.logger.Warn("gate was not unregistered", "gate", s.Gate, "err", err)
		return
	}
	t.mu.Lock()
	t.leases.Remove(s)
	t.uses.forget(s.Gate)
	t.settled.forget(s)
	delete(t.leaving, s)
	t.mu.Unlock()
	t.keeper.events.GateLeft(s)
	t.keeper.logger.Info("gate lease lapsed", "gate", s.Gate, "incarnation", s.Incarnation)
}

// route gives the orders that stand to the gates that hear their hosts.
func (t *term) route() {
	var orders []order.Order
	t.keeper.store.Read(func(s *state.State) { orders = s.Orders() })
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	t.orders.Trim(now)
	t.orders.Route(now, orders, t.hosts.ReportingSession)
	if t.orders.HasAnyPending() {
		close(t.news)
		t.news = make(chan struct{})
	}
}

// recordGroups puts group changes since the last time on the time line.
func (t *term) recordGroups() {
	var changed []view.Entry[view.GroupID, view.Group]
	t.keeper.store.Read(func(s *state.State) {
		if s.Revision() == t.recorded {
			return
		}
		changed = s.GroupsSince(t.recorded)
		t.recorded = s.Revision()
	})
	for _, e := range changed {
		t.keeper.events.GroupChanged(e.Value, e.Changed)
	}
}

// take hands a session its orders.
func (t *term) take(s membership.Session) []order.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	orders := t.orders.Take(t.keeper.clock.Now(), s)
	for _, o := range orders {
		t.keeper.events.OrderIssued(o, s.Gate)
	}
	return orders
}

// newsFor returns a channel that is closed when orders wait for some gate.
func (t *term) newsFor(s membership.Session) (<-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news, t.orders.HasPending(s)
}

// ingest takes in the rest of a sync request and tells whether the gate must
// send all announcements again.
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
	t.uses.note(s.Gate, req.Uses)
	t.settled.note(s, req.InForce, req.SettledGroups)
	t.counts.note(req.TargetCounts)
	return resend
}
