package gates

import (
	"errors"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/routing"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// hintBlocks bounds the prefix hints of one upstream.
const hintBlocks = 1 << 13

// queueLimit bounds the requests of one organisation that wait in a gate.
const queueLimit = 256

// simGate is one gate's decisions.
type simGate struct {
	run     *run
	name    view.GateName
	domain  string
	local   *permit.Local
	flow    *admission.Scheduler
	hints   *prefix.Index
	router  *routing.Router
	waiting map[uint64]*request
	sent    map[view.HostName]int // since the last load report
	handed  int
	turn    int
}

func (r *run) newGate(i int) *simGate {
	g := &simGate{
		run:     r,
		name:    view.GateName("g" + string(rune('a'+i))),
		domain:  domainName(i % r.scenario.domains),
		flow:    admission.NewScheduler(admission.Options{MaxQueued: queueLimit, MaxWait: r.policy.wait, Unsafe: r.policy.admit}),
		hints:   prefix.NewIndex(hintBlocks),
		router:  routing.NewRouter(),
		waiting: make(map[uint64]*request),
		sent:    make(map[view.HostName]int),
	}
	g.local = permit.NewLocal(g.name)
	if r.policy.choice == chooseRandom {
		g.router.Picker = routing.Random{}
	}
	return g
}

// arrive takes a request of a caller or a peer.
func (g *simGate) arrive(q *request) {
	if q.ended {
		return
	}
	if !g.run.policy.bounded() {
		g.sendUnbounded(q)
		return
	}
	if g.handOver(q) {
		return
	}
	err := g.flow.Enqueue(g.run.clock.now, q.ticket())
	var rejected *admission.RejectError
	if errors.As(err, &rejected) {
		g.run.refuse(q)
		return
	}
	g.waiting[q.id] = q
	g.pump()
}

// handOver passes a request on, if this gate has no permits and a peer has.
func (g *simGate) handOver(q *request) bool {
	if q.hops > 0 || g.hasPermits() {
		return false
	}
	weights, total := map[view.GateName]int{}, 0
	for _, s := range g.run.view.Shares.Entries {
		for _, p := range s.Value.Gates {
			if p.Gate != g.name {
				weights[p.Gate] += p.Permits
				total += p.Permits
			}
		}
	}
	if total == 0 {
		return false
	}
	pick := g.run.random.IntN(total)
	for _, peer := range g.run.gates {
		if pick < weights[peer.name] {
			q.hops++
			g.run.noteHop(q)
			g.run.clock.after(hopDelay, func() { peer.arrive(q) })
			return true
		}
		pick -= weights[peer.name]
	}
	return false
}

func (g *simGate) hasPermits() bool {
	for _, t := range g.run.groups {
		free, inFlight := g.local.Capacity(t.target, t.incarnation)
		if free+inFlight > 0 {
			return true
		}
	}
	return false
}

// pump sends what may go.
func (g *simGate) pump() {
	for _, t := range g.flow.Expire(g.run.clock.now) {
		g.run.refuse(g.waiting[t.ID])
		delete(g.waiting, t.ID)
	}
	g.flow.SetCapacity(g.room())
	for g.flow.Len() > 0 {
		var to *simGroup
		t, ok := g.flow.Next(g.run.clock.now, func(t admission.Request) bool {
			to = g.choose(g.waiting[t.ID])
			return to != nil
		})
		if !ok {
			return
		}
		q := g.waiting[t.ID]
		delete(g.waiting, t.ID)
		g.send(q, to)
	}
}

func (g *simGate) room() admission.Capacity {
	var r admission.Capacity
	for _, t := range g.run.groups {
		free, inFlight := g.local.Capacity(t.target, t.incarnation)
		r.Total += free + inFlight
		r.Used += inFlight
	}
	return r
}

// choose finds a group with a free permit.
func (g *simGate) choose(q *request) *simGroup {
	list := g.candidates(q)
	if !slices.ContainsFunc(list, func(c routing.Candidate) bool { return c.FreePermits > 0 }) {
		return nil
	}
	c := g.router.Choose(&routing.Request{FailureDomain: g.domain, Blocks: len(q.blocks)}, list, g.run.random.Uint64())
	if c.Index < 0 {
		return nil
	}
	return g.run.groups[c.Index]
}

func (g *simGate) candidates(q *request) []routing.Candidate {
	list := make([]routing.Candidate, len(g.run.groups))
	for i, t := range g.run.groups {
		free, inFlight := g.local.Capacity(t.target, t.incarnation)
		list[i] = routing.Candidate{
			Target:      t.target,
			Group:       view.Group{ID: t.id, State: t.state(), FailureDomain: t.domain},
			FreePermits: free,
			InFlight:    inFlight,
			Load:        t.load,
			SentSince:   g.sent[t.host],
			Bound:       g.run.scenario.max,
			PrefixHits:  g.hints.Hits(t.host, t.incarnation, q.blocks),
		}
	}
	return list
}

func (t *simGroup) state() view.GroupState {
	if t.serving {
		return view.StateServing
	}
	return view.StateSuspended
}

func (g *simGate) send(q *request, to *simGroup) {
	p, ok := g.local.TryAcquire(to.target, to.incarnation)
	if !ok || !p.Start() {
		g.run.refuse(q)
		return
	}
	q.permit, q.gate, q.sent = p, g, g.run.clock.now
	g.sent[to.host]++
	g.hints.RecordSent(to.host, to.incarnation, q.blocks)
	g.run.clock.after(hopDelay, func() { to.add(q) })
}

// sendUnbounded is what the baselines without permits do.
func (g *simGate) sendUnbounded(q *request) {
	var to *simGroup
	switch g.run.policy.choice {
	case chooseLeast:
		to = g.leastLoaded()
	default:
		to = g.nextInTurn()
	}
	if to == nil {
		g.run.refuse(q)
		return
	}
	q.sent = g.run.clock.now
	g.run.clock.after(hopDelay, func() { to.add(q) })
}

func (g *simGate) leastLoaded() *simGroup {
	var best *simGroup
	for i := range g.run.groups {
		t := g.run.groups[(i+g.turn)%len(g.run.groups)]
		if t.serving && (best == nil || t.load.Running+t.load.Waiting < best.load.Running+best.load.Waiting) {
			best = t
		}
	}
	g.turn++
	return best
}

func (g *simGate) nextInTurn() *simGroup {
	for range g.run.groups {
		g.turn++
		if t := g.run.groups[g.turn%len(g.run.groups)]; t.serving {
			return t
		}
	}
	return nil
}

// finished notes the end of a request that this gate sent.
func (g *simGate) finished(q *request, end permit.End) {
	q.permit.Release(end)
	if end == permit.EndFinished {
		g.flow.RecordServiceTime(q.ticket(), g.run.clock.now-q.sent)
	}
	g.flow.RequestEnded(q.ticket())
	g.pump()
}
