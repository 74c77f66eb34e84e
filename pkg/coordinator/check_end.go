package coordinator

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
)

// handleCheckEnd finds out for an entry host whether an upstream has ended: the entry host may have lost
// its own link to it.
func (c *Coordinator) handleCheckEnd(_ context.Context, req control.FleetCheckEndRequest) (control.FleetCheckEndResult, error) {
	state := c.ends.Check(c.now(), endcheck.Incarnation{ID: req.ID, StartedMS: req.StartedMS}, req.Address)
	c.metrics.EndChecks.WithLabelValues(string(state)).Inc()
	return control.FleetCheckEndResult{State: state}, nil
}
