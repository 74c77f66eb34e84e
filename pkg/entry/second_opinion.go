package entry

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
)

// linkLossMemory is how long after the loss of a link this entry host does not rely on its own view.
const linkLossMemory = 2 * time.Second

// secondOpinion asks a coordinator about an upstream that refuses connections from here. Without an
// answer the refusal counts if this entry host can reach other upstreams and was not wrong lately.
func (g *Gateway) secondOpinion(closedAt time.Duration, who endcheck.Incarnation, address string) endcheck.State {
	asking, cancel := context.WithTimeout(context.Background(), endcheck.Timeout)
	defer cancel()
	req := control.FleetCheckEndRequest{ID: who.ID, StartedMS: who.StartedMS, Address: address}
	var result control.FleetCheckEndResult
	err := g.suspects.CallOnce(asking, control.MethodFleetCheckEnd, req, &result)
	lost := time.Duration(g.linkLostAt.Load())
	switch {
	case result.State == endcheck.Alive:
		g.linkLostAt.Store(int64(g.now()))
		return endcheck.LinkLost
	case result.State == endcheck.Ended:
		return endcheck.Ended
	case err != nil && (lost == 0 || g.now()-lost > linkLossMemory) && g.links.confirm(closedAt):
		return endcheck.Ended
	}
	return endcheck.Refuses
}
