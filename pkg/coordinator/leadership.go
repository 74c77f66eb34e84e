package coordinator

import (
	"context"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// watchLeadership follows a replica's leadership until it ends.
func (c *Coordinator) watchLeadership(ctx context.Context, node *replica.Node, store *durable.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.Done():
			return
		case l := <-node.Leadership():
			if l.IsLeader {
				c.lead(ctx, node, store, l.Term)
			} else {
				c.stepDown("replica " + strconv.FormatUint(uint64(l.Leader), 10) + " leads")
			}
		}
	}
}

// lead begins a leadership once the state holds all that former leaders
// acknowledged.
func (c *Coordinator) lead(ctx context.Context, node *replica.Node, store *durable.Store, term uint64) {
	go func() {
		if _, err := node.ReadIndex(ctx); err != nil {
			c.cfg.Logger.Warn("leadership ended before it began", "term", term, "cause", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if r := c.node.Load(); r == nil || r.node != node || c.leads != nil && c.leads.term >= term {
			return
		}
		c.begin(term)
		c.takeState(store)
		c.event()
	}()
}

// begin sets up a leadership. The caller holds the lock.
func (c *Coordinator) begin(term uint64) {
	now := c.now()
	c.leads = &leadership{
		session: c.cfg.PeerAddress + "#" + strconv.FormatUint(term, 10),
		term:    term,
		since:   now,
		planner: formation.New(formation.Config{Term: term, StartedAt: now, LoadWindow: c.cfg.LoadWindow}),
		syncs:   map[string]*processSync{},
		changed: make(chan struct{}),
		orders:  make(chan struct{}, openOrders),
		probing: map[string]bool{},
		answers: map[string]time.Duration{},
		barred:  map[string]bool{},
		encoded: map[newsKey]encodedNews{},
	}
	// The upstreams are known from the former leader; each gets the time to
	// announce itself here.
	for _, e := range c.registry.All() {
		if e.State != fleet.Gone {
			c.registry.SetCordoned(e.ID, false)
			e.Heard = now
			c.leads.planner.ObserveHost(now, e.Upstream, now)
		}
	}
	c.metrics.Leading.Set(1)
	c.cfg.Logger.Info("leadership begins", "term", term, "upstreams", len(c.registry.All()))
}

func (c *Coordinator) stepDown(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads == nil {
		return
	}
	c.cfg.Logger.Info("leadership ends", "term", c.leads.term, "cause", reason)
	c.metrics.Leading.Set(0)
	c.leads.news()
	c.leads = nil
	c.mirror.Session = ""
}
