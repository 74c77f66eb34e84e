package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/formation"
)

// decide makes the leader's decisions: at each event, and now and then.
func (c *Coordinator) decide(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var state <-chan struct{}
		if r := c.node.Load(); r != nil {
			_, state = r.store.State()
			c.mu.Lock()
			c.takeState(r.store)
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-state:
			continue
		case <-tick.C:
		case <-c.kick:
			select {
			case <-ctx.Done():
				return
			case <-time.After(eventPause):
			}
		}
		c.step(ctx)
	}
}

// takeState brings the durable state into the registry and the planner. The
// caller holds the lock.
func (c *Coordinator) takeState(store *durable.Store) {
	st, _ := store.State()
	if st.Index == c.held && c.leads == nil {
		return
	}
	if st.Document != nil && (c.indexed == nil || c.indexed.Set.Version < st.Document.Version) {
		raw, err := st.Document.Raw()
		var set *catalog.Set
		if err == nil {
			set, err = c.cfg.Decode(raw)
		}
		if err != nil {
			c.cfg.Logger.Error("document in force can't be read", "version", st.Document.Version, "cause", err)
			return
		}
		c.indexed = catalog.NewIndex(set)
		c.cfg.Logger.Info("document in force", "version", set.Version, "routes", len(set.Routes), "index", st.Index)
	}
	changed := st.Index != c.held
	c.held = st.Index
	for _, d := range st.Departures {
		if c.registry.Depart(d.ID, d.StartedMS, d.State()) {
			c.observe(d.ID)
			changed = true
		}
	}
	if c.leads == nil {
		return
	}
	c.leads.planner.SetEvacuated(st.Evacuated)
	c.leads.planner.SetService(c.engineService())
	if changed {
		c.leads.news()
	}
}

// engineService returns the service whose hosts form groups, nil when there is
// none. The caller holds the lock.
func (c *Coordinator) engineService() *catalog.Service {
	if c.indexed == nil {
		return nil
	}
	for i := range c.indexed.Set.Services {
		if s := &c.indexed.Set.Services[i]; s.Engine != nil {
			c.leads.service = s.Name
			return s
		}
	}
	return nil
}

// observe hands an engine host's record to the planner. The caller holds the
// lock.
func (c *Coordinator) observe(id string) {
	e := c.registry.Get(id)
	if c.leads == nil || e == nil || e.Service != c.leads.service && c.leads.service != "" {
		return
	}
	c.leads.planner.ObserveHost(c.now(), e.Upstream, e.Heard)
}

// step runs the planner once and sends its orders.
func (c *Coordinator) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leads
	if l == nil {
		return
	}
	now := c.now()
	c.registry.Expire(now)
	c.gather(now, l)
	for _, u := range l.planner.SilentHosts(now) {
		c.probe(ctx, l, u, "no announcement")
	}
	orders := l.planner.Tick(now)
	if now-l.told >= summaryInterval {
		l.told = now
		if text := l.planner.Summary(); text != l.summary {
			l.summary = text
			c.cfg.Logger.Info("groups", "state", text, "wanted", l.planner.WantedGroups(), "load", l.load)
		}
	}
	c.bar(l)
	for _, o := range orders {
		c.send(ctx, l, o)
	}
}

// bar tells gates which heads get no new requests. The caller holds the lock.
func (c *Coordinator) bar(l *leadership) {
	barred := l.planner.BarredHeads()
	changed := false
	for id := range l.barred {
		if !barred[id] {
			changed = c.registry.SetCordoned(id, false) || changed
		}
	}
	for id := range barred {
		if c.registry.SetCordoned(id, true) {
			changed = true
			c.cfg.Logger.Info("group gets no new requests", "head", id)
		}
	}
	l.barred = barred
	if changed {
		l.news()
	}
}

// gather sums up what the entry hosts told. The caller holds the lock.
func (c *Coordinator) gather(now time.Duration, l *leadership) {
	load := map[string]float64{}
	busy := map[string]int{}
	for name, p := range l.syncs {
		if now-p.at > entryAge {
			delete(l.syncs, name)
			continue
		}
		for m, v := range p.last.OfferedLoad {
			load[m] += v
		}
		for h, n := range p.last.Running {
			busy[h] += n
		}
		if p.last.HasArrivals && !l.traffic {
			l.traffic = true
			l.planner.TrafficStarted(now)
			c.cfg.Logger.Info("requests have begun", "told_by", name)
		}
	}
	l.load = load
	l.planner.SetLoad(load)
	l.planner.SetRunningRequests(busy)
	c.updatePlacers(now, l)
}

// send carries out an order beside the decisions. The caller holds the lock.
func (c *Coordinator) send(ctx context.Context, l *leadership, o formation.Order) {
	go func() {
		select {
		case l.orders <- struct{}{}:
			defer func() { <-l.orders }()
		case <-ctx.Done():
			return
		}
		ordering, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err := c.cfg.Engines.Order(ordering, o, l.term)
		c.metrics.Orders.WithLabelValues(string(o.Kind), resultName(result)).Inc()
		c.cfg.Logger.Info("order to a host", "order", o.Kind, "host_id", o.Host.ID, "domain", o.Host.FabricDomain,
			"group", o.Group, "model", o.Model, "epoch", o.Epoch, "reason", o.Reason, "outcome", resultName(result), "cause", err)
		c.mu.Lock()
		defer c.mu.Unlock()
		l.planner.OrderCompleted(c.now(), o, result)
		c.event()
	}()
}

func resultName(r formation.OrderResult) string {
	switch r {
	case formation.Accepted:
		return "done"
	case formation.Rejected:
		return "rejected"
	}
	return "unknown"
}
