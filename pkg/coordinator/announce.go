package coordinator

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Announce records an upstream's announcement and returns the address for its later announcements.
// A change to draining is durable before it is acknowledged. ErrUnavailable means that no leader
// accepted the announcement.
func (c *Coordinator) Announce(ctx context.Context, u fleet.Upstream) (string, error) {
	result, err := c.handleAnnounce(ctx, u)
	if err == nil {
		return result.Leader, nil
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.callLeader(calling, control.MethodFleetAnnounce, u, &result); err != nil {
		return "", err
	}
	return result.Leader, nil
}

// handleAnnounce records an announcement on the leader.
func (c *Coordinator) handleAnnounce(ctx context.Context, u fleet.Upstream) (control.FleetAnnounceResult, error) {
	c.mu.Lock()
	if c.leadership == nil {
		c.mu.Unlock()
		return control.FleetAnnounceResult{}, notLeader(c.leaderAddress())
	}
	if c.registry.Announce(c.now(), u) {
		c.leadership.notifyChange()
		c.requestDecision()
		c.cfg.Logger.Info("upstream announced a change", "host_id", u.ID, "service", u.Service, "zone", u.Zone,
			"state", u.State, "sequence", u.Sequence, "seat", seatString(u.Assignment), "staged", u.StagedModels, "domain", u.FabricDomain)
	}
	c.updatePlanner(u.ID)
	c.mu.Unlock()
	d := durable.Departure{ID: u.ID, StartedMS: u.StartedMS}
	if u.State == fleet.Draining && !c.holdsDeparture(d) {
		if err := c.propose(ctx, durable.Command{Depart: []durable.Departure{d}}); err != nil {
			return control.FleetAnnounceResult{}, c.toRPCError(err)
		}
	}
	return control.FleetAnnounceResult{Leader: c.cfg.OperatorAddress}, nil
}

// holdsDeparture reports whether the durable state holds a departure.
func (c *Coordinator) holdsDeparture(d durable.Departure) bool {
	r := c.replica.Load()
	if r == nil {
		return false
	}
	st, _ := r.store.State()
	return slices.ContainsFunc(st.Departures, func(k durable.Departure) bool { return k.ID == d.ID && k.StartedMS == d.StartedMS })
}

func seatString(s *fleet.Assignment) string {
	if s == nil {
		return ""
	}
	return s.Group + ":" + string(s.State)
}

// Depart records that an upstream leaves. The departure is durable before it is acknowledged.
func (c *Coordinator) Depart(ctx context.Context, id string) error {
	d := durable.Departure{ID: id, Gone: true}
	if _, err := c.handleDepart(ctx, d); err == nil {
		return nil
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var none struct{}
	return c.callLeader(calling, control.MethodFleetDepart, d, &none)
}

// handleDepart records a departure on the leader.
func (c *Coordinator) handleDepart(ctx context.Context, d durable.Departure) (struct{}, error) {
	c.mu.Lock()
	if c.leadership == nil {
		c.mu.Unlock()
		return struct{}{}, notLeader(c.leaderAddress())
	}
	e := c.registry.Get(d.ID)
	settled := c.now()-c.leadership.since > settleTime
	c.mu.Unlock()
	switch {
	case e != nil && d.StartedMS == 0:
		d.StartedMS = e.StartedMS
	case e == nil && settled:
		return struct{}{}, nil // never known, so no process uses it
	case e == nil:
		return struct{}{}, eris.Wrapf(ErrUnavailable, "upstream %s is not known yet", d.ID)
	}
	c.cfg.Logger.Info("upstream deregistered", "host_id", d.ID, "born", d.StartedMS)
	return struct{}{}, c.toRPCError(c.propose(ctx, durable.Command{Depart: []durable.Departure{d}}))
}
