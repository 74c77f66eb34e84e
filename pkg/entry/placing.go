package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// placing knows which entry host places the requests of each model.
type placing struct {
	own     string // host:port at which this entry host places; empty: it does not
	process string
	dial    rpc.DialFunc

	mu      sync.Mutex
	byModel map[string]*remotePlacer // nil entry: this entry host
	last    uint64                   // number of the last place
}

func newPlacing(cfg Config) *placing {
	return &placing{own: cfg.PlacerAddress, process: cfg.Name, dial: cfg.Dial, byModel: map[string]*remotePlacer{}}
}

// of returns who places a model's requests: another entry host, or this one
// (here is true then). Neither: nobody is known.
func (p *placing) of(model string) (remote *remotePlacer, here bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.byModel[model]
	return r, known && r == nil
}

func (p *placing) nextNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	return p.last
}

// take brings the leader's choice of placers in. It returns the places that
// former placers counted.
func (p *placing) take(placers map[string]string) []*place {
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
		if address == p.own {
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
	var orphans []*place
	for address, r := range used {
		if !kept[address] {
			orphans = append(orphans, r.close()...)
		}
	}
	return orphans
}

// followPlacers takes the leader's choice of placers; nil leaves the former one.
func (g *Gateway) followPlacers(placers map[string]string) {
	if placers == nil {
		return
	}
	for _, p := range g.placing.take(placers) {
		g.balancer.takeOver(p)
	}
}

// place finds an upstream for a request: by the entry host that places its
// model's requests, or here when that is this one or does not answer. It also
// returns the address of the entry host that decided, empty for this one.
func (g *Gateway) place(ctx context.Context, w wish, left time.Duration) (*place, reason, string) {
	remote, here := g.placing.of(w.model)
	now := g.now()
	w.places = here
	if remote != nil && remote.asked(now) {
		p, why, answered := g.placeBy(ctx, remote, w, left)
		if answered {
			return p, why, remote.address
		}
	}
	p, why := g.balancer.choose(now, w)
	return p, why, ""
}

// placeBy asks another entry host for a place; false says that there was no answer
// that can be used.
func (g *Gateway) placeBy(ctx context.Context, remote *remotePlacer, w wish, left time.Duration) (*place, reason, bool) {
	number := g.placing.nextNumber()
	calling, cancel := context.WithTimeout(ctx, min(placeTimeout, left))
	defer cancel()
	var result control.FleetPlaceResult
	err := remote.client.Call(calling, string(control.MethodFleetPlace), control.FleetPlaceRequest{
		Process: g.cfg.Name, PlacementID: number, Service: w.service.Name, Model: w.model, PromptTokens: w.tokens,
		Resumed: w.resumes, ExcludedHeads: g.avoid(g.now(), w), RemainingMS: left.Milliseconds(),
	}, &result)
	now := g.now()
	if err != nil {
		if ctx.Err() == nil {
			remote.failed(now)
			g.metrics.Placements.WithLabelValues("no answer").Inc()
			g.cfg.Logger.Warn("placer does not answer; places are chosen here", "placer", remote.address, "model", w.model,
				"for_ms", placerPause.Milliseconds(), "cause", err)
		}
		remote.end(number, "", 0) // it may have been given all the same
		return nil, noReason, false
	}
	if result.Head == "" {
		g.metrics.Placements.WithLabelValues("refused").Inc()
		return nil, reason(result.Reason), true
	}
	p := g.balancer.accept(now, result.Head, w, remote, number)
	if p == nil {
		g.metrics.Placements.WithLabelValues("unusable").Inc()
		remote.end(number, "", 0)
		return nil, noReason, false
	}
	g.metrics.Placements.WithLabelValues("given").Inc()
	remote.hold(p)
	return p, noReason, true
}

// avoid returns the heads that a request must not go to.
func (g *Gateway) avoid(now time.Duration, w wish) []string {
	ids := g.balancer.avoid(now, w)
	for id := range w.tried {
		ids = append(ids, id)
	}
	return ids
}

// begin notes that the answer to a request has begun.
func (g *Gateway) begin(p *place) {
	g.balancer.begin(p)
	if r, n := g.balancer.counter(p); r != nil {
		r.begin(n)
	}
}

// done gives a place back.
func (g *Gateway) done(p *place) {
	r, n := g.balancer.counter(p)
	slowness := g.balancer.done(p)
	if r != nil {
		r.end(n, p.target.ID, slowness)
	}
}
