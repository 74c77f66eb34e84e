package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/sender"
)

const (
	// syncBatchDelay batches changes in quick succession into one answer.
	syncBatchDelay = 10 * time.Millisecond
	// syncBatchDelayPerProcess extends the delay for each process that syncs, since simultaneous
	// calls of all processes load a single small host.
	syncBatchDelayPerProcess = time.Millisecond
	// resultCacheTimePerProcess is how long, for each process that syncs, a result is reused for
	// processes with the same state. They call within that time, and request counts are at least
	// that old anyway.
	resultCacheTimePerProcess = time.Millisecond
)

// handleSync answers a process with the changes since its state, waiting for changes up to the
// requested time. A call that was found after a freeze, and whose process has turned to another
// coordinator, would pass for its latest report.
func (c *Coordinator) handleSync(ctx context.Context, req control.FleetSyncRequest) (json.RawMessage, error) {
	if err := sender.Connected(ctx); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	c.recordLimits(req)
	recorded := false
	for {
		c.mu.Lock()
		s, err := c.syncServerFor(req)
		if err != nil {
			c.mu.Unlock()
			return nil, err
		}
		if !recorded {
			recorded = true
			c.recordSync(s, req)
		}
		hasNews := req.Session != s.session || (req.EntryHost || req.ServesEntryHosts) && req.LimitRevision != c.limitRevision() ||
			req.Revision != c.revisionFor(req) || c.appliedIndex > req.Index
		changed := s.changed
		batchDelay := syncBatchDelay + time.Duration(len(s.processes))*syncBatchDelayPerProcess
		c.mu.Unlock()
		if hasNews {
			time.Sleep(batchDelay)
			return c.syncResult(req)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-deadline.C:
			return c.syncResult(req)
		case <-changed:
		}
	}
}

// syncServerFor returns the server for a process: that of the leadership, or the one for the entry
// hosts of a coordinator that follows. The caller holds the lock.
func (c *Coordinator) syncServerFor(req control.FleetSyncRequest) (*syncServer, error) {
	if l := c.leading(); l != nil {
		return &l.syncServer, nil
	}
	f := c.following
	if f == nil || !req.EntryHost || !req.AnyCoordinator {
		return nil, notLeader(c.leaderAddress())
	}
	if err := c.checkCurrent(f); err != nil {
		return nil, err
	}
	return &f.syncServer, nil
}

// recordSync stores a process's sync request. The caller holds the lock.
func (c *Coordinator) recordSync(s *syncServer, req control.FleetSyncRequest) {
	p, isNew := s.process(req.Process)
	if isNew {
		c.cfg.Logger.Info("process started to sync with this coordinator", "process_name", req.Process, "entry", req.EntryHost, "zone", req.Zone, "leads", c.leadership != nil)
	}
	p.server = ""
	confirms := p.record(c.now(), req)
	switch {
	case c.leadership != nil && confirms:
		c.leadership.confirmations.broadcast()
	case c.leadership == nil:
		p.unreported = p.unreported || confirms
		c.requestReport(isNew)
	}
}

// limitRevision returns the revision of the limits that upstreams name. The caller holds the lock.
func (c *Coordinator) limitRevision() uint64 {
	switch {
	case c.leadership != nil:
		return c.leadership.limits.revision
	case c.following != nil:
		return c.following.result.LimitRevision
	}
	return 0
}

// syncResult returns the encoded changes since a process's state. Processes with the same state
// call simultaneously after each change, so one result is encoded for all of them.
func (c *Coordinator) syncResult(req control.FleetSyncRequest) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.syncServerFor(req)
	if err != nil {
		return nil, err
	}
	r := c.replica.Load()
	if r == nil {
		return nil, notLeader("")
	}
	raw, err := s.encoded(c.now(), req, func() control.FleetSyncResult { return c.buildSyncResult(s, r, req) })
	return raw, eris.Wrap(err, "encode sync result")
}

// buildSyncResult collects the changes since a process's state. The caller holds the lock.
func (c *Coordinator) buildSyncResult(s *syncServer, r *openReplica, req control.FleetSyncRequest) control.FleetSyncResult {
	c.applyDurableState(r.store)
	st, _ := r.store.State()
	full := req.Session != s.session
	result := c.sharedResult(req, full)
	result.Session = s.session
	result.Full = full
	result.Revision = c.revisionFor(req)
	result.Index = st.Index
	result.DocumentVersion = -1
	result.Coordinators = c.coordinatorAddresses()
	if st.Document != nil {
		result.DocumentVersion = st.Document.Version
		if req.AnyCoordinator && req.InForce != nil && *req.InForce < st.Document.Version {
			result.Document = st.Document
		}
	}
	if st.Index != req.Index || full {
		result.Evacuated = st.Evacuated
		result.Departures = st.Departures
		result.Quarantine = st.Quarantine
	}
	since, changes := req.Revision, c.registry.Since
	if full {
		since = 0
	}
	if req.EntryHost {
		changes = c.registry.VisibleSince
	}
	for _, u := range changes(since) {
		if !full || !req.EntryHost || u.State != fleet.Gone {
			result.Upstreams = append(result.Upstreams, u)
		}
	}
	return result
}

// sharedResult returns what all processes get: the leader's own state, or what it told last. The
// caller holds the lock.
func (c *Coordinator) sharedResult(req control.FleetSyncRequest, full bool) control.FleetSyncResult {
	now := c.now()
	l := c.leadership
	if l == nil {
		return c.following.resultFor(now, req, full)
	}
	entries, missing := c.countEntryHosts(now, l)
	total := l.usageOfAll(now, missing)
	result := control.FleetSyncResult{
		Converged:          now-l.since > settleTime,
		Running:            total.Running,
		AwaitingFirstEvent: total.AwaitingFirstEvent,
		EntryHosts:         entries,
		Placers:            l.placers,
		LimitRevision:      l.limits.revision,
		RelayRevision:      l.relays.revision,
		Leader:             c.cfg.PeerAddress,
		LeaderSession:      l.session,
		Servers:            l.servers(now),
	}
	if req.EntryHost || req.ServesEntryHosts {
		result.Limits = c.limitsFor(now, l, missing)
		if l.relays.revision > 0 && (full || req.RelayRevision != l.relays.revision) {
			result.Relays = l.relays.addresses
		}
	}
	return result
}

// revisionFor returns the newest revision relevant to a process. The caller holds the lock.
func (c *Coordinator) revisionFor(req control.FleetSyncRequest) uint64 {
	if req.EntryHost {
		return c.registry.VisibleRevision()
	}
	return c.registry.Revision()
}

// coordinatorAddresses returns the addresses of all known coordinators.
func (c *Coordinator) coordinatorAddresses() []string {
	return c.replicaManager.addresses()
}

// departed reports whether the durable state holds a departure, or a later one of the incarnation.
func departed(st durable.State, d durable.Departure) bool {
	return slices.ContainsFunc(st.Departures, func(k durable.Departure) bool {
		return k.ID == d.ID && k.StartedMS == d.StartedMS && (k.Gone || !d.Gone)
	})
}
