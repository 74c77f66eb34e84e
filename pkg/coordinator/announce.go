package coordinator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Announce records an upstream's announcement and returns the address for its later announcements.
// A change to draining is durable, and in force, before it is acknowledged. ErrUnavailable means that
// no leader accepted the announcement.
func (c *Coordinator) Announce(ctx context.Context, u fleet.Upstream) (string, error) {
	if c.noteUnchanged(u) {
		return c.cfg.OperatorAddress, nil
	}
	result, err := c.handleAnnounce(ctx, u)
	if err == nil {
		return result.Leader, nil
	}
	if !isNotLeader(err) {
		return "", unavailable(err)
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.callLeader(calling, control.MethodFleetAnnounce, u, &result); err != nil {
		return "", err
	}
	if c.takesAnnouncements() {
		return c.cfg.OperatorAddress, nil
	}
	return result.Leader, nil
}

// noteUnchanged takes an announcement at a coordinator that follows if it changes nothing: the leader
// hears of it with the next report.
func (c *Coordinator) noteUnchanged(u fleet.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.following
	if c.leadership != nil || f == nil || c.now()-f.heardAt > serverTimeout || u.State != fleet.Ready || c.registry.Changes(u) {
		return false
	}
	known := f.announced[u.ID]
	if known.startedMS != u.StartedMS || known.sequence < u.Sequence {
		f.announced[u.ID] = heardAnnouncement{at: c.now(), startedMS: u.StartedMS, sequence: u.Sequence}
	}
	return true
}

// takesAnnouncements reports whether upstreams may announce themselves here while another coordinator
// leads.
func (c *Coordinator) takesAnnouncements() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.following != nil && c.now()-c.following.heardAt <= serverTimeout
}

// handleAnnounce records an announcement on the leader.
func (c *Coordinator) handleAnnounce(ctx context.Context, u fleet.Upstream) (control.FleetAnnounceResult, error) {
	c.mu.Lock()
	l, r := c.leading(), c.replica.Load()
	if l == nil || r == nil {
		c.mu.Unlock()
		return control.FleetAnnounceResult{}, notLeader(c.leaderAddress())
	}
	if c.registry.Announce(c.now(), u) {
		l.notifyChange()
		c.requestDecision()
		c.cfg.Logger.Info("upstream announced a change", "host_id", u.ID, "service", u.Service, "zone", u.Zone,
			"state", u.State, "sequence", u.Sequence, "seat", seatString(u.Assignment), "staged", u.StagedModels, "domain", u.FabricDomain)
	}
	c.updatePlanner(u.ID)
	next := c.announceAddress(l, u.ID)
	c.mu.Unlock()
	if u.State == fleet.Draining {
		if err := c.commitDeparture(ctx, r.store, durable.Departure{ID: u.ID, StartedMS: u.StartedMS}); err != nil {
			return control.FleetAnnounceResult{}, c.toRPCError(err)
		}
	}
	return control.FleetAnnounceResult{Leader: next}, nil
}

// commitDeparture puts a departure into the log, unless it is there, and waits until it is in force.
func (c *Coordinator) commitDeparture(ctx context.Context, store *durable.Store, d durable.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	command := durable.Command{Depart: []durable.Departure{d}}
	if st, _ := store.State(); !departed(st, d) {
		if err := c.propose(ctx, command); err != nil {
			return err
		}
	}
	return c.awaitInForce(ctx, command)
}

func seatString(s *fleet.Assignment) string {
	if s == nil {
		return ""
	}
	return s.Group + ":" + string(s.State)
}

// Depart records that an upstream leaves. The departure is durable before it is acknowledged. It is of the
// incarnation that its base names, so that a later one does not end with it; see InstanceBase.
func (c *Coordinator) Depart(ctx context.Context, id string, base *control.FleetBase) error {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d := durable.Departure{ID: id, Gone: true}
	switch {
	case base != nil && base.Absent:
		return nil // never known, so no process uses it
	case base != nil:
		d.StartedMS = base.StartedMS
	}
	if _, err := c.handleDepart(ctx, d); err == nil || !isNotLeader(err) {
		return unavailable(err)
	}
	var none struct{}
	return c.callLeader(calling, control.MethodFleetDepart, d, &none)
}

// handleDepart records a departure on the leader.
func (c *Coordinator) handleDepart(ctx context.Context, d durable.Departure) (struct{}, error) {
	c.mu.Lock()
	r := c.replica.Load()
	if c.leading() == nil || r == nil {
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
	return struct{}{}, c.toRPCError(c.commitDeparture(ctx, r.store, d))
}
