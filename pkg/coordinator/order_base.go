package coordinator

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/sender"
)

// zoneOrders numbers the orders of a term by zone. A leader proposes them one after the other, in the
// order of their numbers.
type zoneOrders struct {
	turn      chan struct{}     // semaphore for one
	sequences map[string]uint64 // of the last order, by zone; guarded by the coordinator's lock
}

func newZoneOrders() zoneOrders {
	return zoneOrders{turn: make(chan struct{}, 1), sequences: map[string]uint64{}}
}

// orderedZone returns the zone of an order that has no version, or an empty string.
func orderedZone(command durable.Command) string {
	if command.Evacuate != "" {
		return command.Evacuate
	}
	return command.Restore
}

// ZoneBase returns what an order for a failure domain is to be based on, nil if the leader is of an earlier
// version. The sender of the order has to name it: an order that was held up, here or on its way, is then
// known to be older than what its sender did after giving up.
func (c *Coordinator) ZoneBase(ctx context.Context, zone string) (*control.FleetBase, error) {
	return c.base(ctx, control.FleetBaseRequest{Zone: zone})
}

// InstanceBase returns what the departure of an upstream is to be based on, as ZoneBase does for orders.
func (c *Coordinator) InstanceBase(ctx context.Context, id string) (*control.FleetBase, error) {
	return c.base(ctx, control.FleetBaseRequest{Instance: id})
}

// applyOrder commits an order for a zone, which has no version. The leader carries it out only as the next
// one after its base.
func (c *Coordinator) applyOrder(ctx context.Context, command durable.Command, base *control.FleetBase) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return unavailable(c.commitChange(ctx, control.FleetChangeRequest{Command: command, Base: base}))
}

// base returns what an order is to be based on, if its sender is not known to have left.
func (c *Coordinator) base(ctx context.Context, req control.FleetBaseRequest) (*control.FleetBase, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	base, err := c.handleBase(ctx, req)
	if isNotLeader(err) {
		err = c.callLeader(ctx, control.MethodFleetBase, req, &base)
	}
	known := &base
	if hasCode(err, jsonrpc2.CodeMethodNotFound) {
		known, err = nil, nil
	}
	if err == nil {
		err = sender.Check(ctx)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return known, nil
}

// handleBase tells what an order is based on. No quorum needs to confirm that this coordinator leads: what
// is proposed in a term comes in the log before all that later terms commit, or not at all.
func (c *Coordinator) handleBase(_ context.Context, req control.FleetBaseRequest) (control.FleetBase, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leading()
	if l == nil {
		return control.FleetBase{}, notLeader(c.leaderAddress())
	}
	base := control.FleetBase{Term: l.term, Sequence: l.orders.sequences[req.Zone]}
	if req.Instance == "" {
		return base, nil
	}
	e := c.registry.Get(req.Instance)
	switch {
	case e != nil:
		base.StartedMS = e.StartedMS
	case c.now()-l.since > settleTime:
		base.Absent = true
	default:
		return control.FleetBase{}, c.toRPCError(eris.Wrapf(ErrUnavailable, "upstream %s is not known yet", req.Instance))
	}
	return base, nil
}

// proposeOrder proposes an order for a zone in the term of its base, unless another one has been proposed
// since.
func (c *Coordinator) proposeOrder(ctx context.Context, zone string, req control.FleetChangeRequest) error {
	c.mu.Lock()
	l, r := c.leading(), c.replica.Load()
	c.mu.Unlock()
	if l == nil || r == nil {
		return notLeader(c.leaderAddress())
	}
	raw, err := req.Encode()
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	select {
	case l.orders.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	var outcome func(context.Context) (any, error)
	if err = c.takeTurn(l, zone, req.Base); err == nil {
		outcome, err = r.node.Submit(ctx, l.term, raw)
	}
	<-l.orders.turn
	if err != nil {
		return err
	}
	return refusal(outcome(ctx))
}

// takeTurn numbers an order, or returns a conflict if it is not the next one after its base.
func (c *Coordinator) takeTurn(l *leadership, zone string, base *control.FleetBase) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := l.orders.sequences[zone]
	if base != nil && (base.Term != l.term || base.Sequence != last) {
		return control.NewError(control.CodeConflict, fmt.Sprintf("order for %s is based on order %d of term %d, the last is %d of term %d",
			zone, base.Sequence, base.Term, last, l.term), control.Conflict{Base: base.Sequence, Current: last})
	}
	l.orders.sequences[zone]++
	return nil
}

// refusal returns the error of a proposal, or that for which it was refused when it was applied.
func refusal(result any, err error) error {
	if err != nil {
		return err
	}
	if refused, ok := result.(error); ok {
		return refused
	}
	return nil
}
