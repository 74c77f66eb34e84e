package coordinator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Announce takes an upstream's word for itself and returns the address for its
// later announcements. A notice that it drains is durable before it is
// acknowledged. ErrUnavailable says that nobody took it.
func (c *Coordinator) Announce(ctx context.Context, u fleet.Upstream) (string, error) {
	result, err := c.announced(ctx, u)
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

func (c *Coordinator) announced(ctx context.Context, u fleet.Upstream) (control.FleetAnnounceResult, error) {
	c.mu.Lock()
	if c.leads == nil {
		c.mu.Unlock()
		return control.FleetAnnounceResult{}, notLeader(c.leaderPeer())
	}
	known := c.registry.Get(u.ID)
	drains := u.State == fleet.Draining && (known == nil || known.State == fleet.Ready)
	if c.registry.Announce(c.now(), u) {
		c.leads.news()
		c.event()
		c.cfg.Logger.Info("upstream announced a change", "host_id", u.ID, "service", u.Service, "zone", u.Zone,
			"state", u.State, "sequence", u.Sequence, "seat", seatText(u.Assignment), "staged", u.StagedModels, "domain", u.FabricDomain)
	}
	c.observe(u.ID)
	c.mu.Unlock()
	if drains {
		d := durable.Departure{ID: u.ID, StartedMS: u.StartedMS}
		if err := c.propose(ctx, durable.Command{Depart: []durable.Departure{d}}); err != nil {
			return control.FleetAnnounceResult{}, c.translate(err)
		}
	}
	return control.FleetAnnounceResult{Leader: c.cfg.OperatorAddress}, nil
}

func seatText(s *fleet.Assignment) string {
	if s == nil {
		return ""
	}
	return s.Group + ":" + string(s.State)
}

// Depart takes an upstream's word that it leaves. It is durable before it is
// acknowledged.
func (c *Coordinator) Depart(ctx context.Context, id string) error {
	d := durable.Departure{ID: id, Gone: true}
	if _, err := c.departed(ctx, d); err == nil {
		return nil
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var none struct{}
	return c.callLeader(calling, control.MethodFleetDepart, d, &none)
}

func (c *Coordinator) departed(ctx context.Context, d durable.Departure) (struct{}, error) {
	c.mu.Lock()
	if c.leads == nil {
		c.mu.Unlock()
		return struct{}{}, notLeader(c.leaderPeer())
	}
	e := c.registry.Get(d.ID)
	settled := c.now()-c.leads.since > settleAge
	c.mu.Unlock()
	switch {
	case e != nil && d.StartedMS == 0:
		d.StartedMS = e.StartedMS
	case e == nil && settled:
		return struct{}{}, nil // nobody was told of it
	case e == nil:
		return struct{}{}, eris.Wrapf(ErrUnavailable, "upstream %s is not known yet", d.ID)
	}
	c.cfg.Logger.Info("upstream signed off", "host_id", d.ID, "born", d.StartedMS)
	return struct{}{}, c.translate(c.propose(ctx, durable.Command{Depart: []durable.Departure{d}}))
}
