package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/formation"
)

// decisionLoop runs the planner periodically and after each event, and applies changes of the
// durable state.
func (c *Coordinator) decisionLoop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	pause := decisionDelay
	for {
		var state <-chan struct{}
		if r := c.replica.Load(); r != nil {
			_, state = r.store.State()
			c.mu.Lock()
			c.applyDurableState(r.store)
			c.mu.Unlock()
			c.decodeDocument(r.store)
		}
		select {
		case <-ctx.Done():
			return
		case <-state:
			continue
		case <-tick.C:
		case <-c.decisionRequested:
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
		began := c.now()
		c.runPlanner(ctx)
		pause = max(decisionDelay, plannerPause*(c.now()-began))
	}
}

// decodeDocument decodes the document in force for the planner if this coordinator leads. Only the
// planner needs its content, and a large document takes a while, so that a series of documents is
// decoded at most every documentDecodeInterval and without the lock.
func (c *Coordinator) decodeDocument(store *durable.Store) {
	st, _ := store.State()
	c.mu.Lock()
	due := c.leadership != nil && st.Document != nil && (c.documentDecodedAt == 0 || c.now()-c.documentDecodedAt >= documentDecodeInterval) &&
		(c.index == nil || c.index.Set.Version < st.Document.Version)
	if due {
		c.documentDecodedAt = c.now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	raw, err := st.Document.Raw()
	var set *catalog.Set
	if err == nil {
		set, err = c.cfg.Decode(raw)
	}
	if err != nil {
		c.cfg.Logger.Error("document in force is invalid; ignoring it", "version", st.Document.Version, "cause", err)
		return
	}
	index := catalog.NewIndex(set)
	c.cfg.Logger.Info("document decoded for the planner", "version", set.Version, "routes", len(set.Routes), "index", st.Index)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = index
	if l := c.leadership; l != nil {
		l.planner.SetService(c.engineService())
	}
}

// applyDurableState applies the durable state to the registry and the planner. The caller holds the
// lock.
func (c *Coordinator) applyDurableState(store *durable.Store) {
	st, _ := store.State()
	if st.Index == c.appliedIndex && c.leadership == nil {
		return
	}
	changed := st.Index != c.appliedIndex
	c.appliedIndex = st.Index
	for _, d := range st.Departures {
		if c.registry.Depart(d.ID, d.StartedMS, d.State()) {
			c.updatePlanner(d.ID)
			changed = true
		}
	}
	if c.leadership == nil {
		return
	}
	c.leadership.planner.SetEvacuated(st.Evacuated)
	c.leadership.planner.SetService(c.engineService())
	if changed {
		c.leadership.notifyChange()
	}
}

// engineService returns the service whose hosts form groups, nil if there is none. The caller holds
// the lock.
func (c *Coordinator) engineService() *catalog.Service {
	if c.index == nil {
		return nil
	}
	for i := range c.index.Set.Services {
		if s := &c.index.Set.Services[i]; s.Engine != nil {
			c.leadership.service = s.Name
			return s
		}
	}
	return nil
}

// updatePlanner passes an engine host's record to the planner. The caller holds the lock.
func (c *Coordinator) updatePlanner(id string) {
	e := c.registry.Get(id)
	if c.leadership == nil || e == nil || e.Service != c.leadership.service && c.leadership.service != "" {
		return
	}
	c.leadership.planner.ObserveHost(c.now(), e.Upstream, e.Heard)
}

// runPlanner runs the planner once and sends its orders.
func (c *Coordinator) runPlanner(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leadership
	if l == nil {
		return
	}
	now := c.now()
	c.registry.Expire(now)
	c.aggregateReports(now, l)
	for _, u := range l.planner.SilentHosts(now) {
		c.probe(ctx, l, u, "no announcement")
	}
	orders := l.planner.Tick(now)
	if now-l.summaryLoggedAt >= summaryInterval {
		l.summaryLoggedAt = now
		if text := l.planner.Summary(); text != l.loggedSummary {
			l.loggedSummary = text
			c.cfg.Logger.Info("group state", "state", text, "wanted", l.planner.WantedGroups(), "load", l.load)
		}
	}
	c.updateCordonedHeads(l)
	c.recordDueSuspects(ctx, now, l)
	for _, o := range orders {
		c.sendOrder(ctx, l, o)
	}
}

// updateCordonedHeads publishes which heads must get no new requests: those of groups that are given
// up, and for the time of their silence those of groups with a silent host. The caller holds the
// lock.
func (c *Coordinator) updateCordonedHeads(l *leadership) {
	cordoned := l.planner.CordonedHeads()
	for id := range l.silentHosts {
		if head := l.planner.HeadOf(id); head != "" {
			cordoned[head] = true
		}
	}
	changed := false
	for id := range l.cordonedHeads {
		if !cordoned[id] {
			changed = c.registry.SetCordoned(id, false) || changed
		}
	}
	for id := range cordoned {
		if c.registry.SetCordoned(id, true) {
			changed = true
			c.cfg.Logger.Info("withholding new requests from group", "head", id)
		}
	}
	l.cordonedHeads = cordoned
	if changed {
		l.notifyChange()
	}
}

// aggregateReports sums up the reports of the entry hosts for the planner. The caller holds the
// lock.
func (c *Coordinator) aggregateReports(now time.Duration, l *leadership) {
	for name, p := range l.processes {
		if now-p.receivedAt > processTimeout {
			delete(l.processes, name)
			continue
		}
		if p.request.HasArrivals && !l.traffic {
			l.traffic = true
			l.planner.TrafficStarted(now)
			c.cfg.Logger.Info("first client requests reported", "told_by", name)
		}
	}
	_, missing := c.countEntryHosts(now, l)
	total := l.usageOfAll(now, missing)
	l.load = total.OfferedLoad
	l.planner.SetLoad(total.OfferedLoad)
	l.planner.SetRunningRequests(total.Running)
	c.updatePlacers(now, l)
	l.updateRelays(now, missing)
}

// sendOrder sends an order in the background. The caller holds the lock.
func (c *Coordinator) sendOrder(ctx context.Context, l *leadership, o formation.Order) {
	go func() {
		select {
		case l.orderSlots <- struct{}{}:
			defer func() { <-l.orderSlots }()
		case <-ctx.Done():
			return
		}
		ordering, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err := formation.Unknown, c.confirmLeadership(ordering, l)
		if err == nil {
			result, err = c.cfg.Engines.Order(ordering, o, l.term)
		}
		c.metrics.Orders.WithLabelValues(string(o.Kind), resultName(result)).Inc()
		c.cfg.Logger.Info("order to host ended", "order", o.Kind, "host_id", o.Host.ID, "domain", o.Host.FabricDomain,
			"group", o.Group, "model", o.Model, "epoch", o.Epoch, "reason", o.Reason, "outcome", resultName(result), "cause", err)
		c.mu.Lock()
		defer c.mu.Unlock()
		l.planner.OrderCompleted(c.now(), o, result)
		c.requestDecision()
	}()
}

func resultName(r formation.OrderResult) string {
	switch r {
	case formation.Accepted:
		return "done"
	case formation.Rejected:
		return "rejected"
	case formation.Deferred:
		return "deferred"
	}
	return "unknown"
}
