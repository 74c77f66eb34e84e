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

// maxHintBlocks is the maximum number of prefix hints for one upstream.
const maxHintBlocks = 1 << 13

// maxQueued is the maximum number of requests of one organisation that wait in a gate.
const maxQueued = 256

// simGate is a simulated gate that makes its decisions with the real packages.
type simGate struct {
	run             *run
	name            view.GateName
	domain          string
	permits         *permit.Local
	scheduler       *admission.Scheduler
	hints           *prefix.Index
	router          *routing.Router
	waiting         map[uint64]*request
	sentSinceReport map[view.HostName]int // requests since the last load report
	handedOver      int
	nextIndex       int
}

func (r *run) newGate(i int) *simGate {
	g := &simGate{
		run:             r,
		name:            view.GateName("g" + string(rune('a'+i))),
		domain:          domainName(i % r.scenario.domains),
		scheduler:       admission.NewScheduler(admission.Options{MaxQueued: maxQueued, MaxWait: r.policy.maxWait, Unsafe: r.policy.unsafeAdmission}),
		hints:           prefix.NewIndex(maxHintBlocks),
		router:          routing.NewRouter(),
		waiting:         make(map[uint64]*request),
		sentSinceReport: make(map[view.HostName]int),
	}
	g.permits = permit.NewLocal(g.name)
	if r.policy.choice == chooseRandom {
		g.router.Picker = routing.Random{}
	}
	return g
}

// arrive accepts a request from a caller or from another gate.
func (g *simGate) arrive(q *request) {
	if q.ended {
		return
	}
	if !g.run.policy.usesPermits() {
		g.sendWithoutPermits(q)
		return
	}
	if g.handOver(q) {
		return
	}
	err := g.scheduler.Enqueue(g.run.clock.now, q.admissionRequest())
	var rejected *admission.RejectError
	if errors.As(err, &rejected) {
		g.run.refuse(q)
		return
	}
	g.waiting[q.id] = q
	g.dispatch()
}

// handOver passes a request to another gate if this gate has no permits and that one has. A request
// is handed over at most once.
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
	pick := g.run.gateRand.IntN(total)
	for _, peer := range g.run.gates {
		if pick < weights[peer.name] {
			q.hops++
			g.run.countHandOver(q)
			g.run.clock.after(hopDelay, func() { peer.arrive(q) })
			return true
		}
		pick -= weights[peer.name]
	}
	return false
}

func (g *simGate) hasPermits() bool {
	for _, t := range g.run.groups {
		free, inFlight := g.permits.Capacity(t.target, t.incarnation)
		if free+inFlight > 0 {
			return true
		}
	}
	return false
}

// dispatch refuses expired requests and sends those for which a permit is free.
func (g *simGate) dispatch() {
	for _, t := range g.scheduler.Expire(g.run.clock.now) {
		g.run.refuse(g.waiting[t.ID])
		delete(g.waiting, t.ID)
	}
	g.scheduler.SetCapacity(g.capacity())
	for g.scheduler.Len() > 0 {
		var to *simGroup
		t, ok := g.scheduler.Next(g.run.clock.now, func(t admission.Request) bool {
			to = g.chooseGroup(g.waiting[t.ID])
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

func (g *simGate) capacity() admission.Capacity {
	var r admission.Capacity
	for _, t := range g.run.groups {
		free, inFlight := g.permits.Capacity(t.target, t.incarnation)
		r.Total += free + inFlight
		r.Used += inFlight
	}
	return r
}

// chooseGroup returns a group with a free permit, or nil.
func (g *simGate) chooseGroup(q *request) *simGroup {
	list := g.candidates(q)
	if !slices.ContainsFunc(list, func(c routing.Candidate) bool { return c.FreePermits > 0 }) {
		return nil
	}
	c := g.router.Choose(&routing.Request{FailureDomain: g.domain, Blocks: len(q.blocks)}, list, g.run.gateRand.Uint64())
	if c.Index < 0 {
		return nil
	}
	return g.run.groups[c.Index]
}

func (g *simGate) candidates(q *request) []routing.Candidate {
	list := make([]routing.Candidate, len(g.run.groups))
	for i, t := range g.run.groups {
		free, inFlight := g.permits.Capacity(t.target, t.incarnation)
		list[i] = routing.Candidate{
			Target:      t.target,
			Group:       view.Group{ID: t.id, State: t.state(), FailureDomain: t.domain},
			FreePermits: free,
			InFlight:    inFlight,
			Load:        t.load,
			SentSince:   g.sentSinceReport[t.host],
			Bound:       g.run.scenario.maxInFlight,
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
	p, ok := g.permits.TryAcquire(to.target, to.incarnation)
	if !ok || !p.Start() {
		g.run.refuse(q)
		return
	}
	q.permit, q.gate, q.sentAt = p, g, g.run.clock.now
	g.sentSinceReport[to.host]++
	g.hints.RecordSent(to.host, to.incarnation, q.blocks)
	g.run.clock.after(hopDelay, func() { to.add(q) })
}

// sendWithoutPermits sends a request as the baselines without permits do.
func (g *simGate) sendWithoutPermits(q *request) {
	var to *simGroup
	switch g.run.policy.choice {
	case chooseLeastLoaded:
		to = g.leastLoaded()
	default:
		to = g.nextRoundRobin()
	}
	if to == nil {
		g.run.refuse(q)
		return
	}
	q.sentAt = g.run.clock.now
	g.run.clock.after(hopDelay, func() { to.add(q) })
}

func (g *simGate) leastLoaded() *simGroup {
	var best *simGroup
	for i := range g.run.groups {
		t := g.run.groups[(i+g.nextIndex)%len(g.run.groups)]
		if t.serving && (best == nil || t.load.Running+t.load.Waiting < best.load.Running+best.load.Waiting) {
			best = t
		}
	}
	g.nextIndex++
	return best
}

func (g *simGate) nextRoundRobin() *simGroup {
	for range g.run.groups {
		g.nextIndex++
		if t := g.run.groups[g.nextIndex%len(g.run.groups)]; t.serving {
			return t
		}
	}
	return nil
}

// requestEnded records the end of a request that this gate sent and releases its permit.
func (g *simGate) requestEnded(q *request, end permit.End) {
	q.permit.Release(end)
	if end == permit.EndFinished {
		g.scheduler.RecordServiceTime(q.admissionRequest(), g.run.clock.now-q.sentAt)
	}
	g.scheduler.RequestEnded(q.admissionRequest())
	g.dispatch()
}
