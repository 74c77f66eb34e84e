package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
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
// requested time.
func (c *Coordinator) handleSync(ctx context.Context, req control.FleetSyncRequest) (json.RawMessage, error) {
	deadline := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	c.recordLimits(req)
	for {
		c.mu.Lock()
		l := c.leadership
		if l == nil {
			c.mu.Unlock()
			return nil, notLeader(c.leaderAddress())
		}
		c.recordSync(l, req)
		hasNews := req.Session != l.session || req.EntryHost && req.LimitRevision != l.limits.revision || req.Revision != c.revisionFor(req) || req.Index != c.appliedIndex
		changed := l.changed
		batchDelay := syncBatchDelay + time.Duration(len(l.processes))*syncBatchDelayPerProcess
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

// recordSync stores a process's sync request. The caller holds the lock.
func (c *Coordinator) recordSync(l *leadership, req control.FleetSyncRequest) {
	p := l.processes[req.Process]
	if p == nil {
		p = &processSync{}
		l.processes[req.Process] = p
		c.cfg.Logger.Info("process started to sync with this leader", "process_name", req.Process, "entry", req.EntryHost, "zone", req.Zone)
	}
	p.receivedAt = c.now()
	p.request = req
}

// resultKey identifies processes that get the same result at the same time.
type resultKey struct {
	session  string
	revision uint64
	index    uint64
	entry    bool
	relays   uint64
}

// cachedResult is an encoded result that is reused for other processes.
type cachedResult struct {
	encodedAt time.Duration
	raw       json.RawMessage
}

// syncResult returns the encoded changes since a process's state. Processes with the same state
// call simultaneously after each change, so one result is encoded for all of them.
func (c *Coordinator) syncResult(req control.FleetSyncRequest) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, r := c.leadership, c.replica.Load()
	if l == nil || r == nil {
		return nil, notLeader("")
	}
	key := resultKey{req.Session, req.Revision, req.Index, req.EntryHost, req.RelayRevision}
	now := c.now()
	cacheTime := time.Duration(len(l.processes)) * resultCacheTimePerProcess
	if e, ok := l.cachedResults[key]; ok && now-e.encodedAt < cacheTime {
		return e.raw, nil
	}
	for k, e := range l.cachedResults {
		if now-e.encodedAt >= cacheTime {
			delete(l.cachedResults, k)
		}
	}
	raw, err := json.Marshal(c.buildSyncResult(l, r, req))
	if err != nil {
		return nil, eris.Wrap(err, "encode sync result")
	}
	l.cachedResults[key] = cachedResult{now, raw}
	return raw, nil
}

// buildSyncResult collects the changes since a process's state. The caller holds the lock.
func (c *Coordinator) buildSyncResult(l *leadership, r *openReplica, req control.FleetSyncRequest) control.FleetSyncResult {
	st, _ := r.store.State()
	c.applyDurableState(r.store)
	since := req.Revision
	result := control.FleetSyncResult{
		Session:            l.session,
		Converged:          c.now()-l.since > settleTime,
		Revision:           c.revisionFor(req),
		Index:              st.Index,
		DocumentVersion:    -1,
		Coordinators:       c.coordinatorAddresses(),
		Running:            map[string]int{},
		AwaitingFirstEvent: map[string]int{},
		Placers:            l.placers,
		LimitRevision:      l.limits.revision,
	}
	if req.Session != l.session {
		since = 0
		result.Full = true
	}
	if st.Index != req.Index || result.Full {
		result.Evacuated = st.Evacuated
		result.Departures = st.Departures
		result.Quarantine = st.Quarantine
	}
	if req.EntryHost {
		result.Limits = c.limitsFor(c.now(), l)
	}
	result.RelayRevision = l.relays.revision
	if req.EntryHost && l.relays.revision > 0 && (result.Full || req.RelayRevision != l.relays.revision) {
		result.Relays = l.relays.addresses
	}
	if st.Document != nil {
		result.DocumentVersion = st.Document.Version
	}
	changes := c.registry.Since
	if req.EntryHost {
		changes = c.registry.VisibleSince
	}
	for _, u := range changes(since) {
		if !result.Full || u.State != fleet.Gone {
			result.Upstreams = append(result.Upstreams, u)
		}
	}
	for _, p := range l.processes {
		if p.request.EntryHost {
			result.EntryHosts++
		}
		for h, n := range p.request.Running {
			result.Running[h] += n
		}
		for h, n := range p.request.AwaitingFirstEvent {
			result.AwaitingFirstEvent[h] += n
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

// followLeader mirrors the leader's state while another coordinator leads, so that a new leader
// knows the upstreams immediately.
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
		calling, cancel := context.WithTimeout(ctx, followWait+callTimeout)
		var result control.FleetSyncResult
		err := c.callLeader(calling, control.MethodFleetSync, req, &result)
		cancel()
		if err != nil {
			clock.Sleep(ctx, tickInterval)
			continue
		}
		c.applyLeaderState(result)
	}
}

// followWait is how long the leader holds a follower's sync call that has no news.
const followWait = 500 * time.Millisecond

// applyLeaderState applies the leader's sync result to the local registry.
func (c *Coordinator) applyLeaderState(result control.FleetSyncResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership != nil {
		return
	}
	now := c.now()
	for _, u := range result.Upstreams {
		if u.State == fleet.Gone {
			c.registry.Depart(u.ID, u.StartedMS, fleet.Gone)
			continue
		}
		c.registry.Announce(now, u)
	}
	c.followRequest.Session = result.Session
	c.followRequest.Revision = result.Revision
	c.followRequest.Index = result.Index
	c.replicaManager.setAddresses(result.Coordinators)
}
