package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// placerDirectory records which entry host places the requests of each model.
type placerDirectory struct {
	ownAddress string // host:port at which this entry host places; empty if it does not
	process    string
	dial       rpc.DialFunc

	mu         sync.Mutex
	byModel    map[string]*remotePlacer // a nil entry stands for this entry host
	lastNumber uint64                   // of the last placement
}

func newPlacerDirectory(cfg Config) *placerDirectory {
	return &placerDirectory{ownAddress: cfg.PlacerAddress, process: cfg.Name, dial: cfg.Dial, byModel: map[string]*remotePlacer{}}
}

// lookup returns the placer of a model: a remote one, or here if it is this entry host. Neither is
// set if no placer is known.
func (p *placerDirectory) lookup(model string) (remote *remotePlacer, here bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.byModel[model]
	return r, known && r == nil
}

func (p *placerDirectory) nextNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// update applies the leader's choice of placers. It returns the placements counted by placers that
// are no longer used.
func (p *placerDirectory) update(placers map[string]string) []*placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := map[string]*remotePlacer{}
	for _, r := range p.byModel {
		if r != nil {
			used[r.address] = r
		}
	}
	next := map[string]*remotePlacer{}
	kept := map[string]bool{}
	for model, address := range placers {
		if address == p.ownAddress {
			next[model] = nil
			continue
		}
		if used[address] == nil {
			used[address] = newRemotePlacer(address, p.process, p.dial)
		}
		next[model] = used[address]
		kept[address] = true
	}
	p.byModel = next
	var orphans []*placement
	for address, r := range used {
		if !kept[address] {
			orphans = append(orphans, r.close()...)
		}
	}
	return orphans
}

// applyPlacers applies the leader's choice of placers; nil leaves the present one.
func (g *Gateway) applyPlacers(placers map[string]string) {
	if placers == nil {
		return
	}
	for _, p := range g.placers.update(placers) {
		g.balancer.countLocally(p)
	}
}

// place selects an upstream for a request. The model's placer decides; this entry host does if it
// is the placer itself or the placer does not answer. It also returns the address of the remote
// placer that decided, if any.
func (g *Gateway) place(ctx context.Context, req placementRequest, left time.Duration) (*placement, reason, string) {
	remote, here := g.placers.lookup(req.model)
	now := g.now()
	req.localPlacer = here
	if remote != nil && remote.available(now) {
		p, why, answered := g.placeRemotely(ctx, remote, req, left)
		if answered {
			return p, why, remote.address
		}
	}
	p, why := g.balancer.choose(now, req)
	return p, why, ""
}

// placeRemotely asks a remote placer for a placement. It returns false if there was no usable
// answer.
func (g *Gateway) placeRemotely(ctx context.Context, remote *remotePlacer, req placementRequest, left time.Duration) (*placement, reason, bool) {
	number := g.placers.nextNumber()
	calling, cancel := context.WithTimeout(ctx, min(placementTimeout, left))
	defer cancel()
	var result control.FleetPlaceResult
	err := remote.client.Call(calling, string(control.MethodFleetPlace), control.FleetPlaceRequest{
		Process: g.cfg.Name, PlacementID: number, Service: req.service.Name, Model: req.model, PromptTokens: req.promptTokens,
		Resumed: req.resuming, Standby: req.standby, ExcludedHeads: g.excludedHeads(g.now(), req), RemainingMS: left.Milliseconds(),
	}, &result)
	now := g.now()
	if err != nil {
		if ctx.Err() == nil {
			remote.recordFailure(now)
			g.metrics.Placements.WithLabelValues("no answer").Inc()
			g.cfg.Logger.Warn("placer does not answer; choosing upstreams locally", "placer", remote.address, "model", req.model,
				"for_ms", placerRetryDelay.Milliseconds(), "cause", err)
		}
		remote.release(number, "", 0) // the placer may have counted it nevertheless
		return nil, noReason, false
	}
	if reason(result.Reason) == unknownService {
		g.metrics.Placements.WithLabelValues("other document").Inc()
		return nil, noReason, false
	}
	if result.Head == "" {
		g.metrics.Placements.WithLabelValues("refused").Inc()
		return nil, reason(result.Reason), true
	}
	p := g.balancer.acceptPlacement(now, result.Head, req, remote, number)
	if p == nil {
		g.metrics.Placements.WithLabelValues("unusable").Inc()
		remote.release(number, "", 0)
		return nil, noReason, false
	}
	g.metrics.Placements.WithLabelValues("given").Inc()
	remote.add(p)
	return p, noReason, true
}

// excludedHeads returns the heads to which the request must not be sent.
func (g *Gateway) excludedHeads(now time.Duration, req placementRequest) []string {
	ids := g.balancer.excludedHeads(now, req)
	for id := range req.tried {
		ids = append(ids, id)
	}
	return ids
}

// responseStarted records the first response data of a request, here and at its placer.
func (g *Gateway) responseStarted(p *placement) {
	g.balancer.responseStarted(p)
	if r, n := g.balancer.remoteOwner(p); r != nil {
		r.responseStarted(n)
	}
}

// release releases a placement, here and at its placer.
func (g *Gateway) release(p *placement) {
	r, n := g.balancer.remoteOwner(p)
	slowness := g.balancer.release(p)
	if r != nil {
		r.release(n, p.upstream.ID, slowness)
	}
}
