package gates

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// run is one simulation of a scenario under a policy.
type run struct {
	scenario scenario
	policy   policy
	clock    clock
	random   *rand.Rand // of the gates' choices
	arrivals *rand.Rand // of what callers do, the same for each policy
	alloc    *permit.Allocator
	view     *view.View
	gates    []*simGate
	groups   []*simGroup
	stats    *stats
	ids      uint64
	prompts  []string
}

func domainName(i int) string { return string(rune('a' + i)) }

// simulate plays a scenario and returns its figures.
func simulate(s scenario, p policy) *stats {
	r := &run{
		scenario: s,
		policy:   p,
		random:   rand.New(rand.NewPCG(s.seed, 1)),
		arrivals: rand.New(rand.NewPCG(s.seed, 2)),
		alloc:    permit.NewAllocator(p.permits),
		view:     view.New(),
		stats:    newStats(s.until() - s.from),
	}
	r.makePrompts()
	for i := range s.gates {
		r.gates = append(r.gates, r.newGate(i))
		r.step(permit.GateSeen{Gate: r.gates[i].name, Incarnation: 1})
	}
	for i := range s.groups {
		r.groups = append(r.groups, r.newGroup(i))
	}
	for _, t := range r.groups {
		r.up(t, s.warm)
	}
	r.schedule()
	r.clock.run(s.end + s.deadline)
	return r.stats
}

func (r *run) newGroup(i int) *simGroup {
	t := &simGroup{
		run:         r,
		id:          view.GroupID(fmt.Sprintf("m-%02d", i)),
		host:        view.HostName(fmt.Sprintf("h-%02d", i)),
		domain:      domainName(i % r.scenario.domains),
		incarnation: 1,
		serving:     true,
		requests:    make(map[*engine.Sequence]*request),
	}
	t.target = view.GroupTarget(t.id)
	t.model = engine.NewModel(r.scenario.model, 0)
	return t
}

// up gives a group's target to the allocator.
func (r *run) up(t *simGroup, proven bool) {
	cold := r.scenario.cold
	if proven {
		cold = r.scenario.max
		t.age(r.scenario.model.ColdTime)
	}
	r.step(permit.TargetUp{Target: t.target, Incarnation: t.incarnation, Max: r.scenario.max, Cold: cold, RampTime: r.scenario.ramp})
}

// schedule plans what happens by the clock.
func (r *run) schedule() {
	for i, g := range r.gates {
		r.clock.after(syncInterval*time.Duration(i)/time.Duration(len(r.gates)), func() {
			r.clock.every(syncInterval, func() { r.sync(g) })
		})
	}
	r.clock.every(100*time.Millisecond, func() { r.step(permit.Ticked{}) })
	r.clock.every(loadInterval, r.reportLoads)
	r.clock.after(r.gap(), r.arrival)
	if r.scenario.large > 0 {
		r.clock.after(r.largeGap(), r.largeArrival)
	}
	if r.scenario.leave > 0 {
		r.clock.after(r.scenario.leave, r.domainLeaves)
		r.clock.after(r.scenario.back, r.domainReturns)
	}
}

// step gives the allocator an event; the view reaches the gates a little later.
func (r *run) step(ev permit.Event) {
	changes := r.alloc.Step(view.Time(r.clock.now)+view.Time(time.Hour), r.view.Revision+1, ev)
	if len(changes) == 0 {
		return
	}
	next, err := view.New().Install(r.view.Since(0))
	if err != nil {
		panic(err)
	}
	next.Revision++
	for _, c := range changes {
		switch c := c.(type) {
		case permit.PutShare:
			next.Shares.Put(c.Share.Target, c.Share, next.Revision)
			if r.counts(r.clock.now) {
				r.stats.shares++
			}
		case permit.DeleteShare:
			next.Shares.Delete(c.Target, next.Revision)
		}
	}
	r.view = next
	r.clock.after(viewDelay, func() {
		for _, g := range r.gates {
			g.local.Install(next)
			g.pump()
		}
	})
}

// sync is one gate's report to the keepers.
func (r *run) sync(g *simGate) {
	for i, n := range permit.DivideEvenly(g.flow.WaitingForCapacity()+g.handed, len(r.groups)) {
		t := r.groups[i]
		g.local.SetQueued(t.target, t.incarnation, n)
	}
	uses := g.local.Usage()
	r.clock.after(viewDelay, func() { r.step(permit.UsageReported{Gate: g.name, Uses: uses}) })
	g.pump()
}

// reportLoads lets gates learn the groups' load, late and with gaps.
func (r *run) reportLoads() {
	for _, t := range r.groups {
		load, events, inc := t.model.Load(), t.model.CacheEvents(0), t.incarnation
		r.clock.after(loadLag, func() {
			t.load = load
			for _, g := range r.gates {
				delete(g.sent, t.host)
				if r.random.Float64() >= eventLoss {
					g.hints.Observe(t.host, inc, newer(events, g.hints.Sequence(t.host, inc)))
				}
			}
		})
	}
}

func newer(events []report.CacheEvent, after uint64) []report.CacheEvent {
	for i := range events {
		if events[i].Sequence > after {
			return events[i:]
		}
	}
	return nil
}

func (r *run) domainLeaves() {
	for _, t := range r.groups {
		if t.domain == domainName(0) {
			t.serving = false
			r.step(permit.TargetDown{Target: t.target})
		}
	}
}

func (r *run) domainReturns() {
	for _, t := range r.groups {
		if t.domain == domainName(0) {
			t.restart()
			r.up(t, false)
		}
	}
}

// makePrompts makes prompts that share prefixes of half their length.
func (r *run) makePrompts() {
	for i := range r.scenario.prefixes {
		head := make([]byte, r.scenario.prompt/2)
		for j := range head {
			head[j] = byte('a' + (i*31+j*7+i*j)%26)
		}
		r.prompts = append(r.prompts, fmt.Sprintf("%06d%s", i, head))
	}
}

func (r *run) gap() time.Duration {
	return time.Duration(r.arrivals.ExpFloat64() / r.scenario.rate(r.clock.now) * float64(time.Second))
}

func (r *run) largeGap() time.Duration {
	return time.Duration(r.arrivals.ExpFloat64() / r.scenario.largeRate() * float64(time.Second))
}

// largeArrival is one request of the large organisation, whose figures don't
// count; another follows.
func (r *run) largeArrival() {
	if r.clock.now > r.scenario.end {
		return
	}
	r.clock.after(r.largeGap(), r.largeArrival)
	q := r.newRequest("large")
	q.counted = false
	r.admit(q)
}

// arrival is one request; another follows.
func (r *run) arrival() {
	if r.clock.now > r.scenario.end {
		return
	}
	r.clock.after(r.gap(), r.arrival)
	q := r.newRequest("o" + string(rune('0'+r.arrivals.IntN(organisations))))
	if q.counted {
		r.stats.offered++
	}
	r.admit(q)
}

// organisations is how many send the counted requests.
const organisations = 9

func (r *run) newRequest(org string) *request {
	r.ids++
	tail := fmt.Sprintf("%-*d", r.scenario.prompt/2, r.ids)
	return &request{
		id:       r.ids,
		org:      org,
		arrived:  r.clock.now,
		blocks:   prefix.Blocks("v1", r.prompts[int(float64(len(r.prompts))*r.arrivals.Float64()*r.arrivals.Float64())]+tail),
		tokens:   r.scenario.tokens/2 + r.arrivals.IntN(r.scenario.tokens),
		deadline: r.clock.now + r.scenario.deadline,
		counted:  r.counts(r.clock.now),
	}
}

// admit lets a request come to its gate.
func (r *run) admit(q *request) {
	r.clock.after(r.scenario.deadline, func() { r.giveUp(q) })
	r.entry().arrive(q)
}

// entry is the gate that the balancer chooses.
func (r *run) entry() *simGate {
	if r.arrivals.Float64() < r.scenario.hot {
		return r.gates[0]
	}
	return r.gates[r.arrivals.IntN(len(r.gates))]
}

func (r *run) counts(at time.Duration) bool { return at >= r.scenario.from && at <= r.scenario.until() }

// token is one token of a request.
func (r *run) token(g *simGroup, q *request) {
	now := r.clock.now
	if q.counted {
		if q.last == 0 {
			_ = r.stats.first.RecordValue((now - q.arrived).Microseconds())
			r.stats.hits += q.sequence.Cached
			r.stats.prompts += q.sequence.Prompt
		} else {
			_ = r.stats.between.RecordValue((now - q.last).Microseconds())
		}
	}
	q.last = now
	if !q.sequence.Done() {
		return
	}
	delete(g.requests, q.sequence)
	q.ended = true
	if q.counted {
		r.stats.whole++
		_ = r.stats.total.RecordValue((now - q.arrived).Microseconds())
	}
	if q.permit != nil {
		q.gate.finished(q, permit.EndFinished)
	}
}

func (r *run) refuse(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if q.counted {
		r.stats.refused++
	}
}

// giveUp ends a request whose time is over.
func (r *run) giveUp(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if q.counted {
		r.stats.late++
	}
	for _, t := range r.groups {
		if q.sequence != nil && t.requests[q.sequence] == q {
			t.remove(q)
		}
	}
	for _, g := range r.gates {
		g.flow.Remove(q.id)
		delete(g.waiting, q.id)
	}
	if q.permit != nil {
		q.gate.finished(q, permit.EndInconclusive)
	}
}

func (r *run) noteHop(q *request) {
	if q.counted {
		r.stats.hops++
	}
}
