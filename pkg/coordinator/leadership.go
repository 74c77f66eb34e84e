package coordinator

import (
	"context"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// watchLeadership tracks the leadership of a replica until the replica ends.
func (c *Coordinator) watchLeadership(ctx context.Context, node *replica.Node, store *durable.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.Done():
			return
		case l := <-node.Leadership():
			c.updateKnownLeader(ctx, node)
			if l.IsLeader {
				c.assumeLeadership(ctx, node, store, l.Term)
			} else {
				c.stepDown("replica " + strconv.FormatUint(uint64(l.Leader), 10) + " leads")
			}
		}
	}
}

// updateKnownLeader reads the leader's address from the replica.
func (c *Coordinator) updateKnownLeader(ctx context.Context, node *replica.Node) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if st, err := node.Status(ctx); err == nil {
		c.noteLeader(st)
	}
}

// assumeLeadership begins a leadership once the local state includes all changes that former
// leaders acknowledged.
func (c *Coordinator) assumeLeadership(ctx context.Context, node *replica.Node, store *durable.Store, term uint64) {
	go func() {
		if _, err := node.ReadIndex(ctx); err != nil {
			c.cfg.Logger.Warn("leadership lost before it was established", "term", term, "cause", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if r := c.replica.Load(); r == nil || r.node != node || c.leadership != nil && c.leadership.term >= term {
			return
		}
		c.beginLeadership(term)
		c.applyDurableState(store)
		c.requestDecision()
	}()
}

// beginLeadership initializes a leadership. The caller holds the lock.
func (c *Coordinator) beginLeadership(term uint64) {
	now := c.now()
	f := c.following
	c.stopFollowing()
	c.leadership = &leadership{
		syncServer:    newSyncServer(c.cfg.PeerAddress + "#" + strconv.FormatUint(term, 10)),
		changes:       map[string]*pendingChange{},
		term:          term,
		since:         now,
		planner:       formation.New(formation.Config{Term: term, StartedAt: now, LoadWindow: c.cfg.LoadWindow, Fenced: c.cfg.FencingEnforced}),
		orderSlots:    make(chan struct{}, maxOpenOrders),
		probing:       map[string]bool{},
		silentHosts:   map[string]bool{},
		probeAnswers:  map[string]time.Duration{},
		cordonedHeads: map[string]bool{},
		stopping:      map[raft.ID]time.Duration{},
		crashes:       quarantine.NewTracker(now),
		orders:        newZoneOrders(),
	}
	if f != nil {
		c.leadership.former = f.result
		c.leadership.limits.inherit(f.result.Limits)
	}
	// The upstreams are known from the former leader. Treat each as just heard, so that it has time
	// to announce itself here.
	for _, e := range c.registry.All() {
		if e.State != fleet.Gone {
			c.registry.SetCordoned(e.ID, false)
			e.Heard = now
			c.leadership.planner.ObserveHost(now, e.Upstream, now)
		}
	}
	c.metrics.Leading.Set(1)
	c.cfg.Logger.Info("leadership started", "term", term, "upstreams", len(c.registry.All()))
}

// maxLeaderStall is how long the replica of a leader may handle no event. It exceeds the longest election
// timeout, 0.8 s, so that another coordinator may lead by then.
const maxLeaderStall = time.Second

// leading returns the leadership of this coordinator. It is nil if another one leads, or may lead since
// the replica here has stalled. The caller holds the lock.
func (c *Coordinator) leading() *leadership {
	r := c.replica.Load()
	if r == nil || r.node.Stalled() > maxLeaderStall && len(c.coordinatorAddresses()) > 1 {
		return nil
	}
	return c.leadership
}

func (c *Coordinator) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading() != nil
}

// confirmLeadership returns an error unless a quorum confirms that this coordinator still leads. One that
// was frozen does not know yet that it has been replaced.
func (c *Coordinator) confirmLeadership(ctx context.Context, l *leadership) error {
	r := c.replica.Load()
	if r == nil {
		return notLeader("")
	}
	if _, err := r.node.ReadIndex(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership != l {
		return notLeader(c.leaderAddress())
	}
	return nil
}

func (c *Coordinator) stepDown(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership == nil {
		return
	}
	c.cfg.Logger.Info("leadership ended", "term", c.leadership.term, "cause", reason)
	c.metrics.Leading.Set(0)
	c.metrics.Members.Reset()
	c.leadership.notifyChange()
	c.leadership.confirmations.broadcast()
	c.leadership = nil
	c.followRequest.Session = ""
}
