package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/rendezvous"
)

const (
	// followWait is how long the leader holds a follower's sync call that has no news.
	followWait = 250 * time.Millisecond
	// maxLeaderSilence is how long a coordinator answers entry hosts without hearing of the leader. Then
	// others may know more.
	maxLeaderSilence = 3 * time.Second
	// leaderTimeout bounds the calls in which a follower mirrors the leader and reports to it. A lost
	// connection and a new leader end them earlier; given up any sooner, a busy leader gets them again.
	leaderTimeout = 2 * time.Second
	// suspectInterval is the minimum time between two reports of one silent head to the leader.
	suspectInterval = probeAnswerTTL
	// serverTimeout is how long after its last sync a coordinator is named to entry hosts as one that
	// answers them.
	serverTimeout = 1500 * time.Millisecond
)

// following is what a coordinator knows of the leader that it follows, and the entry hosts that it
// answers in the leader's place. What the log holds it knows from its own replica.
type following struct {
	syncServer
	leaderSession string
	heardAt       time.Duration
	result        control.FleetSyncResult // the last one; without upstreams and durable state
	limits        upstreamLimits          // that entry hosts told; only to notice changes
	lag           replicaLag
	behind        bool          // the replica does not keep up, so that entry hosts are turned away
	reportedAt    time.Duration // the leader knows all sync calls up to then
	fullReport    bool          // the next report must not wait for its time
	announced     map[string]heardAnnouncement
	suspected     map[string]time.Duration // when the leader was last told that a head is silent
}

// heardAnnouncement is an announcement without a change.
type heardAnnouncement struct {
	at        time.Duration
	startedMS int64
	sequence  int64
	reported  bool
}

// newFollowing returns the state for a leader's session.
func newFollowing(now time.Duration, leaderSession, address string) *following {
	f := &following{syncServer: newSyncServer(""), leaderSession: leaderSession, announced: map[string]heardAnnouncement{}, suspected: map[string]time.Duration{}}
	f.beginSession(now, address)
	return f
}

// beginSession begins a new session, in which entry hosts get the full state. Sessions of one
// coordinator differ also after a restart, as its revisions start over.
func (f *following) beginSession(now time.Duration, address string) {
	f.session = f.leaderSession + "@" + address + "#" + strconv.FormatInt(int64(now), 36)
	f.notifyChange()
}

// resultFor returns what the leader told last, for an entry host.
func (f *following) resultFor(now time.Duration, req control.FleetSyncRequest, full bool) control.FleetSyncResult {
	result := f.result
	if !full && req.RelayRevision == result.RelayRevision {
		result.Relays = nil
	}
	result.Limits = make(map[string]control.FleetLimit, len(f.result.Limits))
	for id, l := range f.result.Limits {
		l.AgoUS += (now - f.heardAt).Microseconds()
		result.Limits[id] = l
	}
	return result
}

// update takes over a result of the leader. It reports whether entry hosts must learn of it soon.
func (f *following) update(now time.Duration, result control.FleetSyncResult) bool {
	relays := f.result.Relays
	changed := result.LimitRevision != f.result.LimitRevision
	f.heardAt = now
	f.result = result
	f.result.Upstreams, f.result.Evacuated, f.result.Departures, f.result.Quarantine = nil, nil, nil, nil
	if result.Relays == nil {
		f.result.Relays = relays
	}
	return changed
}

// servers returns the coordinators that answer entry hosts in place of this leader.
func (l *leadership) servers(now time.Duration) []string {
	var addresses []string
	for name, p := range l.processes {
		if p.request.ServesEntryHosts && now-p.receivedAt < serverTimeout {
			addresses = append(addresses, name)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// announceAddress returns the host:port for the next announcements of an upstream: that of a
// coordinator that follows, so that announcements without a change don't reach the leader one by one.
// The caller holds the lock.
func (c *Coordinator) announceAddress(l *leadership, id string) string {
	var addresses []string
	for _, name := range l.servers(c.now()) {
		if a := l.processes[name].request.OperatorAddress; a != "" {
			addresses = append(addresses, a)
		}
	}
	if a := rendezvous.Choose(id, addresses); a != "" {
		return a
	}
	return c.cfg.OperatorAddress
}

// followLeader mirrors the leader's state while another coordinator leads, so that this one can
// answer entry hosts and a new leader knows the upstreams immediately.
func (c *Coordinator) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		leads := c.leadership != nil
		req := c.followRequest
		req.WaitMS = followWait.Milliseconds()
		c.mu.Unlock()
		if leads || c.replica.Load() == nil {
			clock.Sleep(ctx, followWait)
			continue
		}
		calling, cancel := c.withLeader(ctx, followWait+leaderTimeout)
		var result control.FleetSyncResult
		err := c.callLeader(calling, control.MethodFleetSync, req, &result)
		cancel()
		if err != nil {
			c.metrics.LeaderCalls.WithLabelValues("failed").Inc()
			clock.Sleep(ctx, tickInterval)
			continue
		}
		c.metrics.LeaderCalls.WithLabelValues("answered").Inc()
		c.applyLeaderState(result)
	}
}

// applyLeaderState applies the leader's sync result to the local registry.
func (c *Coordinator) applyLeaderState(result control.FleetSyncResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership != nil {
		return
	}
	now := c.now()
	result.EntryHosts = c.entryHosts.Hear(now, result.Session, result.EntryHosts)
	visible := c.registry.VisibleRevision()
	for _, u := range result.Upstreams {
		c.registry.Mirror(now, u)
	}
	c.followRequest.Session = result.Session
	c.followRequest.Revision = result.Revision
	c.followRequest.Index = result.Index
	c.followRequest.LimitRevision = result.LimitRevision
	c.followRequest.RelayRevision = result.RelayRevision
	c.followRequest.OperatorAddress = c.cfg.OperatorAddress
	c.replicaManager.setAddresses(result.Coordinators)
	c.reconcileUpstreams(result)
	c.updateFollowing(now, result, c.registry.VisibleRevision() != visible)
	c.followRequest.ServesEntryHosts = c.following != nil && !c.following.behind
}

// reconcileUpstreams forgets upstreams that a settled leader does not know: they have ended while another
// one led, or come back as new ones. Entry hosts learn of that in a new session. The caller holds the lock.
func (c *Coordinator) reconcileUpstreams(result control.FleetSyncResult) {
	if result.Full {
		c.unlisted = map[string]struct{}{}
		for _, e := range c.registry.All() {
			if e.State != fleet.Gone {
				c.unlisted[e.ID] = struct{}{}
			}
		}
	}
	for _, u := range result.Upstreams {
		delete(c.unlisted, u.ID)
	}
	if !result.Converged || len(c.unlisted) == 0 {
		return
	}
	unknown := slices.Sorted(maps.Keys(c.unlisted))
	c.cfg.Logger.Info("forgetting upstreams that the leader does not know", "upstreams", len(unknown), "ids", named(unknown), "leader", result.Leader)
	for _, id := range unknown {
		c.registry.Forget(id)
	}
	c.unlisted = nil
	if c.following != nil {
		c.following.beginSession(c.now(), c.cfg.PeerAddress)
	}
}

// updateFollowing updates what entry hosts get here. The caller holds the lock.
func (c *Coordinator) updateFollowing(now time.Duration, result control.FleetSyncResult, changed bool) {
	if result.Leader == "" {
		c.stopFollowing() // a leader of an earlier version takes no reports
		return
	}
	if f := c.following; f == nil || f.leaderSession != result.Session {
		c.stopFollowing()
		c.following = newFollowing(now, result.Session, c.cfg.PeerAddress)
	}
	if c.following.update(now, result) || changed {
		c.following.notifyChange()
	}
	c.observeLag(now, c.following, result.Index)
}

// stopFollowing ends the session of the entry hosts that are answered here. The caller holds the lock.
func (c *Coordinator) stopFollowing() {
	if c.following != nil {
		c.following.notifyChange()
		c.following = nil
	}
}
