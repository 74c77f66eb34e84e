package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// hostedPlacements holds the placements made for other entry hosts. A single placer for all
// requests of a model knows the pending prompts of its heads at any moment, which entry hosts that
// exchange counts periodically do not.
type hostedPlacements struct {
	mu    sync.Mutex
	byKey map[placementKey]hostedPlacement
}

// placementKey identifies a placement across all entry hosts.
type placementKey struct {
	entryHost string
	number    uint64
}

// hostedPlacement is a placement that is released at expiresAt at the latest.
type hostedPlacement struct {
	placement *placement
	expiresAt time.Duration
}

func newHostedPlacements() *hostedPlacements {
	return &hostedPlacements{byKey: map[placementKey]hostedPlacement{}}
}

// Register registers the RPC methods for other entry hosts.
func (g *Gateway) Register(s *rpc.Server) {
	rpc.Handle(s, string(control.MethodFleetPlace), g.handlePlace)
	rpc.Handle(s, string(control.MethodFleetPlaced), g.handlePlaced)
}

// handlePlace selects a head for a request of another entry host.
func (g *Gateway) handlePlace(_ context.Context, req control.FleetPlaceRequest) (control.FleetPlaceResult, error) {
	now := g.now()
	var service *catalog.Service
	if x := g.index.Load(); x != nil {
		service = x.Service(req.Service)
	}
	if service == nil {
		return control.FleetPlaceResult{Reason: string(unknownService)}, nil
	}
	wanted := placementRequest{service: service, model: req.Model, promptTokens: req.PromptTokens, resuming: req.Resumed, standby: req.Standby, tried: map[string]bool{}, localPlacer: true, hosted: true}
	for _, id := range req.ExcludedHeads {
		wanted.tried[id] = true
	}
	p, why := g.balancer.choose(now, wanted)
	if p == nil {
		return control.FleetPlaceResult{Reason: string(why)}, nil
	}
	g.balancer.moveToHosted(p)
	g.hosted.add(placementKey{req.Process, req.PlacementID}, hostedPlacement{p, now + time.Duration(req.RemainingMS)*time.Millisecond})
	return control.FleetPlaceResult{Head: p.upstream.ID}, nil
}

// handlePlaced processes the progress of placements that another entry host reports.
func (g *Gateway) handlePlaced(_ context.Context, req control.FleetPlacedRequest) (struct{}, error) {
	for _, n := range req.Started {
		if p := g.hosted.get(placementKey{req.Process, n}); p != nil {
			g.balancer.responseStarted(p)
		}
	}
	for _, n := range req.Ended {
		if p := g.hosted.remove(placementKey{req.Process, n}); p != nil {
			g.balancer.release(p)
		}
	}
	g.balancer.mergeSlowness(req.Slowdown)
	return struct{}{}, nil
}

// expirePlacements releases placements whose requests have passed their deadline without a report
// from their entry host.
func (g *Gateway) expirePlacements(now time.Duration) {
	for _, p := range g.hosted.removeExpired(now) {
		g.balancer.release(p)
	}
}

func (p *hostedPlacements) add(k placementKey, h hostedPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKey[k] = h
}

func (p *hostedPlacements) get(k placementKey) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[k].placement
}

func (p *hostedPlacements) remove(k placementKey) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.byKey[k]
	delete(p.byKey, k)
	return h.placement
}

func (p *hostedPlacements) removeExpired(now time.Duration) []*placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var over []*placement
	for k, h := range p.byKey {
		if now >= h.expiresAt {
			over = append(over, h.placement)
			delete(p.byKey, k)
		}
	}
	return over
}
