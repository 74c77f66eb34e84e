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
	scenario   scenario
	policy     policy
	clock      clock
	gateRand   *rand.Rand // for the gates' choices
	callerRand *rand.Rand // for the callers; gives the same requests under each policy
	allocator  *permit.Allocator
	view       *view.View
	gates      []*simGate
	groups     []*simGroup
	stats      *stats
	lastID     uint64
	prefixes   []string
}

func domainName(i int) string { return string(rune('a' + i)) }

// simulate runs a scenario under a policy and returns its statistics.
func simulate(s scenario, p policy) *stats {
	r := &run{
		scenario:   s,
		policy:     p,
		gateRand:   rand.New(rand.NewPCG(s.seed, 1)),
		callerRand: rand.New(rand.NewPCG(s.seed, 2)),
		allocator:  permit.NewAllocator(p.permits),
		view:       view.New(),
		stats:      newStats(s.measureEnd() - s.measureFrom),
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
		r.addTarget(t, s.startsProven)
	}
	r.schedule()
	r.clock.runUntil(s.endAt + s.deadline)
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

// addTarget adds a group's target to the allocator. A proven group starts with its full number of permits.
func (r *run) addTarget(t *simGroup, proven bool) {
	cold := r.scenario.coldInFlight
	if proven {
		cold = r.scenario.maxInFlight
		t.makeProven(r.scenario.model.ColdTime)
	}
	r.step(permit.TargetUp{Target: t.target, Incarnation: t.incarnation, Max: r.scenario.maxInFlight, Cold: cold, RampTime: r.scenario.rampTime})
}

// schedule schedules the periodic work, the first arrivals and the outage of a domain.
func (r *run) schedule() {
	for i, g := range r.gates {
		r.clock.after(syncInterval*time.Duration(i)/time.Duration(len(r.gates)), func() {
			r.clock.every(syncInterval, func() { r.reportUsage(g) })
		})
	}
	r.clock.every(100*time.Millisecond, func() { r.step(permit.Ticked{}) })
	r.clock.every(loadReportInterval, r.reportLoads)
	r.clock.after(r.arrivalGap(), r.generateRequest)
	if r.scenario.largeLoad > 0 {
		r.clock.after(r.largeArrivalGap(), r.generateLargeRequest)
	}
	if r.scenario.leaveAt > 0 {
		r.clock.after(r.scenario.leaveAt, r.takeDomainDown)
		r.clock.after(r.scenario.returnAt, r.bringDomainBack)
	}
}

// step passes an event to the allocator. The changed view reaches the gates viewDelay later.
func (r *run) step(ev permit.Event) {
	changes := r.allocator.Step(view.Time(r.clock.now)+view.Time(time.Hour), r.view.Revision+1, ev)
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
			if r.inMeasuredSpan(r.clock.now) {
				r.stats.shareChanges++
			}
		case permit.DeleteShare:
			next.Shares.Delete(c.Target, next.Revision)
		}
	}
	r.view = next
	r.clock.after(viewDelay, func() {
		for _, g := range r.gates {
			g.permits.Install(next)
			g.dispatch()
		}
	})
}

// reportUsage sends one gate's usage report to the allocator.
func (r *run) reportUsage(g *simGate) {
	for i, n := range permit.DivideEvenly(g.scheduler.WaitingForCapacity()+g.handedOver, len(r.groups)) {
		t := r.groups[i]
		g.permits.SetQueued(t.target, t.incarnation, n)
	}
	uses := g.permits.Usage()
	r.clock.after(viewDelay, func() { r.step(permit.UsageReported{Gate: g.name, Uses: uses}) })
	g.dispatch()
}

// reportLoads passes the load and cache events of the groups to the gates, with a delay and with a
// share of the cache events lost.
func (r *run) reportLoads() {
	for _, t := range r.groups {
		load, events, incarnation := t.model.Load(), t.model.CacheEvents(0), t.incarnation
		r.clock.after(loadReportDelay, func() {
			t.load = load
			for _, g := range r.gates {
				delete(g.sentSinceReport, t.host)
				if r.gateRand.Float64() >= eventLossShare {
					g.hints.Observe(t.host, incarnation, eventsAfter(events, g.hints.Sequence(t.host, incarnation)))
				}
			}
		})
	}
}

func eventsAfter(events []report.CacheEvent, after uint64) []report.CacheEvent {
	for i := range events {
		if events[i].Sequence > after {
			return events[i:]
		}
	}
	return nil
}

func (r *run) takeDomainDown() {
	for _, t := range r.groups {
		if t.domain == domainName(0) {
			t.serving = false
			r.step(permit.TargetDown{Target: t.target})
		}
	}
}

func (r *run) bringDomainBack() {
	for _, t := range r.groups {
		if t.domain == domainName(0) {
			t.restart()
			r.addTarget(t, false)
		}
	}
}

// makePrompts makes the prefixes that prompts share; a prefix is half of a prompt.
func (r *run) makePrompts() {
	for i := range r.scenario.prefixCount {
		sharedPrefix := make([]byte, r.scenario.promptBytes/2)
		for j := range sharedPrefix {
			sharedPrefix[j] = byte('a' + (i*31+j*7+i*j)%26)
		}
		r.prefixes = append(r.prefixes, fmt.Sprintf("%06d%s", i, sharedPrefix))
	}
}

func (r *run) arrivalGap() time.Duration {
	return time.Duration(r.callerRand.ExpFloat64() / r.scenario.rate(r.clock.now) * float64(time.Second))
}

func (r *run) largeArrivalGap() time.Duration {
	return time.Duration(r.callerRand.ExpFloat64() / r.scenario.largeRate() * float64(time.Second))
}

// generateLargeRequest submits one request of the large organisation, which the figures don't
// include, and schedules the next.
func (r *run) generateLargeRequest() {
	if r.clock.now > r.scenario.endAt {
		return
	}
	r.clock.after(r.largeArrivalGap(), r.generateLargeRequest)
	q := r.newRequest("large")
	q.counted = false
	r.submit(q)
}

// generateRequest submits one request and schedules the next.
func (r *run) generateRequest() {
	if r.clock.now > r.scenario.endAt {
		return
	}
	r.clock.after(r.arrivalGap(), r.generateRequest)
	q := r.newRequest("o" + string(rune('0'+r.callerRand.IntN(organisationCount))))
	if q.counted {
		r.stats.offered++
	}
	r.submit(q)
}

// organisationCount is the number of organisations whose requests the figures include.
const organisationCount = 9

func (r *run) newRequest(org string) *request {
	r.lastID++
	tail := fmt.Sprintf("%-*d", r.scenario.promptBytes/2, r.lastID)
	return &request{
		id:           r.lastID,
		organisation: org,
		arrivedAt:    r.clock.now,
		blocks:       prefix.Blocks("v1", r.prefixes[int(float64(len(r.prefixes))*r.callerRand.Float64()*r.callerRand.Float64())]+tail),
		tokens:       r.scenario.meanTokens/2 + r.callerRand.IntN(r.scenario.meanTokens),
		deadline:     r.clock.now + r.scenario.deadline,
		counted:      r.inMeasuredSpan(r.clock.now),
	}
}

// submit passes a request to a gate and schedules its deadline.
func (r *run) submit(q *request) {
	r.clock.after(r.scenario.deadline, func() { r.expire(q) })
	r.pickGate().arrive(q)
}

// pickGate returns the gate that the load balancer in front of the gates chooses.
func (r *run) pickGate() *simGate {
	if r.callerRand.Float64() < r.scenario.firstGateShare {
		return r.gates[0]
	}
	return r.gates[r.callerRand.IntN(len(r.gates))]
}

func (r *run) inMeasuredSpan(at time.Duration) bool {
	return at >= r.scenario.measureFrom && at <= r.scenario.measureEnd()
}

// recordToken records one token of a request, and its end after the last one.
func (r *run) recordToken(g *simGroup, q *request) {
	now := r.clock.now
	if q.counted {
		if q.lastTokenAt == 0 {
			_ = r.stats.firstToken.RecordValue((now - q.arrivedAt).Microseconds())
			r.stats.cachedTokens += q.sequence.Cached
			r.stats.promptTokens += q.sequence.Prompt
		} else {
			_ = r.stats.betweenTokens.RecordValue((now - q.lastTokenAt).Microseconds())
		}
	}
	q.lastTokenAt = now
	if !q.sequence.Done() {
		return
	}
	delete(g.requests, q.sequence)
	q.ended = true
	if q.counted {
		r.stats.completed++
		_ = r.stats.wholeAnswer.RecordValue((now - q.arrivedAt).Microseconds())
	}
	if q.permit != nil {
		q.gate.requestEnded(q, permit.EndFinished)
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

// expire ends a request whose deadline has passed.
func (r *run) expire(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if q.counted {
		r.stats.expired++
	}
	for _, t := range r.groups {
		if q.sequence != nil && t.requests[q.sequence] == q {
			t.remove(q)
		}
	}
	for _, g := range r.gates {
		g.scheduler.Remove(q.id)
		delete(g.waiting, q.id)
	}
	if q.permit != nil {
		q.gate.requestEnded(q, permit.EndInconclusive)
	}
}

func (r *run) countHandOver(q *request) {
	if q.counted {
		r.stats.handedOver++
	}
}
