package entry

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
)

// secondOpinion asks a coordinator about an upstream that refuses connections from here. Without an
// answer the refusal counts if this entry host can reach other upstreams.
func (g *Gateway) secondOpinion(closedAt time.Duration, who endcheck.Incarnation, address string) endcheck.State {
	asking, cancel := context.WithTimeout(context.Background(), endcheck.Timeout)
	defer cancel()
	req := control.FleetCheckEndRequest{ID: who.ID, StartedMS: who.StartedMS, Address: address}
	var result control.FleetCheckEndResult
	err := g.suspects.CallOnce(asking, control.MethodFleetCheckEnd, req, &result)
	switch {
	case err == nil && result.State == endcheck.Alive:
		return endcheck.LinkLost
	case err == nil:
		return result.State
	case g.links.confirm(closedAt):
		return endcheck.Ended
	}
	return endcheck.Unknown
}
