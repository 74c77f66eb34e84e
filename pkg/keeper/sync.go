package keeper

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxSyncWait limits how long a sync may wait for a newer view.
const maxSyncWait = time.Second

// sync answers a gate's sync. The exchange of clock values orders the events of both processes:
// those that the gate recorded before the request, then those recorded here, then those that the
// gate records after the reply.
func (k *Keeper) sync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	if err := authorizeSync(ctx, &req); err != nil {
		return control.GateSyncReply{}, err
	}
	k.hlc.Observe(req.Clock)
	reply, err := k.renewLease(ctx, req)
	reply.Clock = k.hlc.Stamp()
	return reply, err
}

// renewLease renews a gate's lease and brings its view up to date. A keeper that does not lead
// forwards the request. The delay is harmless, since the gate counts its lease from when it sent
// the request.
func (k *Keeper) renewLease(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	t, ok := k.leadingTerm()
	if !ok {
		return k.forwardSync(ctx, req)
	}
	if err := k.confirmLeadership(ctx); err != nil {
		return control.GateSyncReply{}, k.toRPCError(err)
	}
	return t.sync(ctx, req)
}

// confirmLeadership returns nil if this keeper still leads, as shown by a round of messages that
// begins after the call.
func (k *Keeper) confirmLeadership(ctx context.Context) error {
	if k.unsafe.SkipLeaderConfirmation {
		return nil
	}
	return k.confirmer.confirm(ctx)
}

// forwardSync forwards a sync to the leader on behalf of a gate that cannot reach it. A request
// that was forwarded already is refused.
func (k *Keeper) forwardSync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	address := k.leaderAddress()
	if address == "" || req.Forwarded {
		return control.GateSyncReply{}, notLeaderError(address)
	}
	p := k.peers.get(address)
	if p == nil {
		return control.GateSyncReply{}, notLeaderError(address)
	}
	req.Forwarded = true
	req.Clock = k.hlc.Stamp()
	var reply control.GateSyncReply
	err := p.client.Call(ctx, string(control.MethodGateSync), req, &reply)
	k.hlc.Observe(reply.Clock)
	reply.Leader = address
	return reply, err
}

func (t *term) sync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	s := membership.Session{Gate: req.Gate.Name, Incarnation: req.Gate.Incarnation}
	resend := t.ingest(s, &req)
	if req.Leaving {
		return t.handleLeave(ctx, s)
	}
	if err := t.registerSession(ctx, req.Gate); err != nil {
		return control.GateSyncReply{}, t.keeper.toRPCError(err)
	}
	offered, granted := t.grantLease(s, req.InForce)
	if !granted {
		return control.GateSyncReply{ResendAnnouncements: resend}, nil
	}
	t.awaitChange(ctx, s, req)
	reply := control.GateSyncReply{
		LeaseMillis:         t.keeper.timing.Gates.Lease.Milliseconds(),
		OrderTTLMS:          t.keeper.timing.Orders.TTL.Milliseconds(),
		ResendAnnouncements: resend,
		Orders:              t.takeOrders(s),
		CountTargets:        t.wantedCounts(),
	}
	if t.keeper.revision() > req.InForce {
		reply.Delta = t.keeper.store.Delta(req.InForce)
	}
	if reply.Delta == nil && offered > req.InForce {
		// The replica was restored from a snapshot between the grant and the reply.
		return control.GateSyncReply{ResendAnnouncements: resend}, nil
	}
	return reply, nil
}

// registerSession adds a session to the replicated state before its first lease.
func (t *term) registerSession(ctx context.Context, g view.Gate) error {
	known := false
	t.keeper.store.Read(func(s *state.State) { known = s.Registered(g) })
	if known {
		return nil
	}
	if _, err := t.keeper.propose(ctx, state.Command{RegisterGate: &g}); err != nil {
		return err
	}
	t.keeper.logger.Info("gate registered", "gate", g.Name, "incarnation", g.Incarnation)
	return nil
}

// grantLease records a lease for a session that is registered and not leaving. It returns the
// lowest revision to which the reply will bring the gate.
func (t *term) grantLease(s membership.Session, inForce view.Revision) (view.Revision, bool) {
	var offered view.Revision
	registered := false
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeper.store.Read(func(st *state.State) {
		offered = st.Revision()
		registered = st.HasSession(s)
	})
	if _, leaving := t.leaving[s]; leaving || !registered {
		return 0, false
	}
	_, _, known := t.leases.State(t.keeper.clock.Now(), s)
	t.leases.Grant(t.keeper.clock.Now(), s, inForce, offered)
	if !known {
		g := view.Gate{Name: s.Gate, Incarnation: s.Incarnation}
		t.keeper.events.GateJoined(g, offered)
	}
	return offered, true
}

// handleLeave unregisters a gate that has given up its lease.
func (t *term) handleLeave(ctx context.Context, s membership.Session) (control.GateSyncReply, error) {
	t.mu.Lock()
	t.leaving[s] = struct{}{}
	t.mu.Unlock()
	t.unregister(ctx, s)
	return control.GateSyncReply{}, nil
}

// wantedCounts returns the targets whose counts gates should report.
func (t *term) wantedCounts() []view.TargetID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts.wanted
}

// awaitChange waits until there is a newer view or an order for the gate, at most as long as the
// request allows.
func (t *term) awaitChange(ctx context.Context, s membership.Session, req control.GateSyncRequest) {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.keeper.store.Changed()
		news, waiting := t.pendingOrders(s)
		if waiting || t.keeper.revision() > req.InForce {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		case <-news:
		}
	}
}

func (k *Keeper) revision() view.Revision {
	var r view.Revision
	k.store.Read(func(s *state.State) { r = s.Revision() })
	return r
}
