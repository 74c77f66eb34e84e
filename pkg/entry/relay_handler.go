package entry

import (
	"encoding/json"
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// RelayHandler serves requests that entry hosts without links to upstreams pass on. A request is served
// like one of a client, and never passed on to a further entry host.
func (g *Gateway) RelayHandler() http.Handler { return http.HandlerFunc(g.serveRelayed) }

func (g *Gateway) serveRelayed(w http.ResponseWriter, r *http.Request) {
	var origin control.RelayedRequest
	if err := json.Unmarshal([]byte(r.Header.Get(relayHeader)), &origin); err != nil {
		g.cfg.Logger.Warn("relayed request is malformed", "from", r.RemoteAddr, "cause", err)
		http.Error(w, "malformed "+relayHeader, http.StatusBadRequest)
		return
	}
	r.Header.Del(relayHeader)
	c := newCall(g, w, r)
	c.origin = &origin
	c.possibleExecutions = origin.Executions
	for _, id := range origin.Tried {
		c.tried[id] = true
	}
	if why := g.relayObstacle(origin); why != noReason {
		g.metrics.Relays.WithLabelValues("taken", "declined").Inc()
		c.decline(why)
		return
	}
	c.handle()
}

// relayObstacle returns why this entry host can't serve a relayed request, or noReason.
func (g *Gateway) relayObstacle(origin control.RelayedRequest) reason {
	x := g.index.Load()
	switch {
	case g.stopping.Load():
		return processStops
	case x == nil:
		return noDocument
	case x.Set.Version < origin.DocumentVersion:
		return olderDocument
	case g.links.cutOff():
		return linksLost
	}
	return noReason
}

// decline leaves a relayed request to other entry hosts. No upstream has got it from here.
func (c *call) decline(why reason) {
	c.w.Header().Set(relayDeclinedHeader, string(why))
	c.writeLocalAnswer(http.StatusServiceUnavailable, string(why))
}

// peersMayReach reports whether a request that found no upstream may find one at another entry host: some
// could not be reached from here.
func (c *call) peersMayReach(why reason, req placementRequest) bool {
	return why == allExcluded && c.origin == nil && c.gateway.balancer.lacksLinks(req)
}

// mayDecline reports whether a relayed request that can't be served here was not run by an upstream and
// may be left to others.
func (c *call) mayDecline() bool {
	return c.origin != nil && !c.headerSent && c.possibleExecutions == c.origin.Executions && c.gateway.links.cutOff()
}
