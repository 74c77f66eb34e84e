package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// placer places the requests of other entry hosts. One that places all requests
// of a model knows at each moment what its heads still have to read, which
// entry hosts that tell each other now and then do not.
type placer struct {
	mu   sync.Mutex
	held map[placeKey]heldPlace
}

// placeKey names a place over all entry hosts.
type placeKey struct {
	process string
	number  uint64
}

// heldPlace is a place with the time after which it is free in any case.
type heldPlace struct {
	place *place
	until time.Duration
}

func newPlacer() *placer { return &placer{held: map[placeKey]heldPlace{}} }

// Register serves the calls of other entry hosts.
func (g *Gateway) Register(s *rpc.Server) {
	rpc.Handle(s, string(control.MethodFleetPlace), g.placeFor)
	rpc.Handle(s, string(control.MethodFleetPlaced), g.placed)
}

// placeFor chooses a head for another entry host's request.
func (g *Gateway) placeFor(_ context.Context, req control.FleetPlaceRequest) (control.FleetPlaceResult, error) {
	now := g.now()
	var service *catalog.Service
	if x := g.index.Load(); x != nil {
		service = x.Service(req.Service)
	}
	if service == nil {
		return control.FleetPlaceResult{Reason: string(noUpstream)}, nil
	}
	w := wish{service: service, model: req.Model, tokens: req.PromptTokens, resumes: req.Resumed, tried: map[string]bool{}, places: true}
	for _, id := range req.ExcludedHeads {
		w.tried[id] = true
	}
	p, why := g.balancer.choose(now, w)
	if p == nil {
		return control.FleetPlaceResult{Reason: string(why)}, nil
	}
	g.balancer.host(p)
	g.placer.hold(placeKey{req.Process, req.PlacementID}, heldPlace{p, now + time.Duration(req.RemainingMS)*time.Millisecond})
	return control.FleetPlaceResult{Head: p.target.ID}, nil
}

// placed takes what became of places.
func (g *Gateway) placed(_ context.Context, req control.FleetPlacedRequest) (struct{}, error) {
	for _, n := range req.Started {
		if p := g.placer.get(placeKey{req.Process, n}); p != nil {
			g.balancer.begin(p)
		}
	}
	for _, n := range req.Ended {
		if p := g.placer.drop(placeKey{req.Process, n}); p != nil {
			g.balancer.done(p)
		}
	}
	g.balancer.toldSlow(req.Slowdown)
	return struct{}{}, nil
}

// expire frees the places of requests whose time is over: their entry host did
// not say how they ended.
func (g *Gateway) expire(now time.Duration) {
	for _, p := range g.placer.expired(now) {
		g.balancer.done(p)
	}
}

func (p *placer) hold(k placeKey, h heldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[k] = h
}

func (p *placer) get(k placeKey) *place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[k].place
}

func (p *placer) drop(k placeKey) *place {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[k]
	delete(p.held, k)
	return h.place
}

func (p *placer) expired(now time.Duration) []*place {
	p.mu.Lock()
	defer p.mu.Unlock()
	var over []*place
	for k, h := range p.held {
		if now >= h.until {
			over = append(over, h.place)
			delete(p.held, k)
		}
	}
	return over
}
