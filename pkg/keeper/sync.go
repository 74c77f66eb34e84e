package keeper

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxSyncWait bounds how long a sync may wait for a newer view.
const maxSyncWait = time.Second

// sync answers a gate and joins the two time lines: what the gate recorded
// before comes before what is recorded here, and that before what the gate
// records once it has the reply.
func (k *Keeper) sync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	if err := mayRenew(ctx, &req); err != nil {
		return control.GateSyncReply{}, err
	}
	k.stamps.Observe(req.Clock)
	reply, err := k.renew(ctx, req)
	reply.Clock = k.stamps.Stamp()
	return reply, err
}

// renew renews a gate's lease and brings its view up to date. A keeper that
// does not lead passes the request on: the gate counts its lease from when it
// sent the request, however long the way is.
func (k *Keeper) renew(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	t, ok := k.leading()
	if !ok {
		return k.relaySync(ctx, req)
	}
	if err := k.confirm(ctx); err != nil {
		return control.GateSyncReply{}, k.translate(err)
	}
	return t.sync(ctx, req)
}

// confirm returns nil if this keeper still leads. The round that shows it
// begins after the call.
func (k *Keeper) confirm(ctx context.Context) error {
	if k.unsafe.SkipLeaderConfirmation {
		return nil
	}
	return k.confirmer.confirm(ctx)
}

// relaySync passes a sync on to the leader, for gates that are cut off from
// it.
func (k *Keeper) relaySync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	address := k.leaderAddress()
	if address == "" || req.Forwarded {
		return control.GateSyncReply{}, notLeader(address)
	}
	p := k.peers.get(address)
	if p == nil {
		return control.GateSyncReply{}, notLeader(address)
	}
	req.Forwarded = true
	req.Clock = k.stamps.Stamp()
	var reply control.GateSyncReply
	err := p.client.Call(ctx, string(control.MethodGateSync), req, &reply)
	k.stamps.Observe(reply.Clock)
	reply.Leader = address
	return reply, err
}

func (t *term) sync(ctx context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
	s := membership.Session{Gate: req.Gate.Name, Incarnation: req.Gate.Incarnation}
	resend := t.ingest(s, &req)
	if req.Leaving {
		return t.signOff(ctx, s)
	}
	if err := t.register(ctx, req.Gate); err != nil {
		return control.GateSyncReply{}, t.keeper.translate(err)
	}
	offered, granted := t.grant(s, req.InForce)
	if !granted {
		return control.GateSyncReply{ResendAnnouncements: resend}, nil
	}
	t.await(ctx, s, req)
	reply := control.GateSyncReply{
		LeaseMillis:         t.keeper.timing.Gates.Lease.Milliseconds(),
		OrderTTLMS:          t.keeper.timing.Orders.TTL.Milliseconds(),
		ResendAnnouncements: resend,
		Orders:              t.take(s),
		CountTargets:        t.countsWanted(),
	}
	if t.keeper.revision() > req.InForce {
		reply.Delta = t.keeper.store.Delta(req.InForce)
	}
	if reply.Delta == nil && offered > req.InForce {
		// The replica was restored between the grant and the reply.
		return control.GateSyncReply{ResendAnnouncements: resend}, nil
	}
	return reply, nil
}

// register puts a session into the replicated state before its first lease.
func (t *term) register(ctx context.Context, g view.Gate) error {
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

// grant notes the lease of a registered session that is not being forgotten.
// It returns the revision that the reply will bring the gate to at least.
func (t *term) grant(s membership.Session, inForce view.Revision) (view.Revision, bool) {
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

// signOff unregisters a gate that has given its lease up.
func (t *term) signOff(ctx context.Context, s membership.Session) (control.GateSyncReply, error) {
	t.mu.Lock()
	t.leaving[s] = struct{}{}
	t.mu.Unlock()
	t.unregister(ctx, s)
	return control.GateSyncReply{}, nil
}

// countsWanted returns the targets whose own counts are wanted.
func (t *term) countsWanted() []view.TargetID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts.wanted
}

// await waits until there is a newer view or an order for the gate, as long as
// the gate allows.
func (t *term) await(ctx context.Context, s membership.Session, req control.GateSyncRequest) {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.keeper.store.Changed()
		news, waiting := t.newsFor(s)
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
