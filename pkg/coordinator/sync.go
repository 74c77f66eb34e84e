package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// syncPause gathers news that comes close together into one answer.
	syncPause = 10 * time.Millisecond
	// syncPauseEach is added for each process that follows: what they all ask
	// at once is work for one small host.
	syncPauseEach = time.Millisecond
	// newsSharedEach is for how long one answer is given to others that hold the
	// same, for each process that follows: they ask within that time, and counts
	// of requests are as old as that anyway.
	newsSharedEach = time.Millisecond
)

// sync answers a process with what it does not have yet.
func (c *Coordinator) sync(ctx context.Context, req control.FleetSyncRequest) (json.RawMessage, error) {
	deadline := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		c.mu.Lock()
		l := c.leads
		if l == nil {
			c.mu.Unlock()
			return nil, notLeader(c.leaderPeer())
		}
		c.note(l, req)
		news := req.Session != l.session || req.Revision != c.revisionFor(req) || req.Index != c.held
		changed := l.changed
		gathering := syncPause + time.Duration(len(l.syncs))*syncPauseEach
		c.mu.Unlock()
		if news {
			time.Sleep(gathering)
			return c.news(req)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-deadline.C:
			return c.news(req)
		case <-changed:
		}
	}
}

// note keeps what a process told. The caller holds the lock.
func (c *Coordinator) note(l *leadership, req control.FleetSyncRequest) {
	p := l.syncs[req.Process]
	if p == nil {
		p = &processSync{}
		l.syncs[req.Process] = p
		c.cfg.Logger.Info("process follows this leader", "process_name", req.Process, "entry", req.EntryHost, "zone", req.Zone)
	}
	p.at = c.now()
	p.last = req
}

// newsKey is what an answer depends on besides the moment.
type newsKey struct {
	session  string
	revision uint64
	index    uint64
	entry    bool
}

// encodedNews is an answer that others may be given too.
type encodedNews struct {
	at  time.Duration
	raw json.RawMessage
}

// news returns what a process does not have yet. Processes that hold the same
// ask at once after each change; one answer is made for all of them.
func (c *Coordinator) news(req control.FleetSyncRequest) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, r := c.leads, c.node.Load()
	if l == nil || r == nil {
		return nil, notLeader("")
	}
	key := newsKey{req.Session, req.Revision, req.Index, req.EntryHost}
	now := c.now()
	shared := time.Duration(len(l.syncs)) * newsSharedEach
	if e, ok := l.encoded[key]; ok && now-e.at < shared {
		return e.raw, nil
	}
	for k, e := range l.encoded {
		if now-e.at >= shared {
			delete(l.encoded, k)
		}
	}
	raw, err := json.Marshal(c.newsFor(l, r, req))
	if err != nil {
		return nil, eris.Wrap(err, "encode news")
	}
	l.encoded[key] = encodedNews{now, raw}
	return raw, nil
}

// newsFor collects the news. The caller holds the lock.
func (c *Coordinator) newsFor(l *leadership, r *running, req control.FleetSyncRequest) control.FleetSyncResult {
	st, _ := r.store.State()
	c.takeState(r.store)
	since := req.Revision
	result := control.FleetSyncResult{
		Session:            l.session,
		Converged:          c.now()-l.since > settleAge,
		Revision:           c.revisionFor(req),
		Index:              st.Index,
		DocumentVersion:    -1,
		Coordinators:       c.peers(),
		Running:            map[string]int{},
		AwaitingFirstEvent: map[string]int{},
		Placers:            l.placers,
	}
	if req.Session != l.session {
		since = 0
		result.Full = true
	}
	if st.Index != req.Index || result.Full {
		result.Evacuated = st.Evacuated
		result.Departures = st.Departures
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
	for _, p := range l.syncs {
		if p.last.EntryHost {
			result.EntryHosts++
		}
		for h, n := range p.last.Running {
			result.Running[h] += n
		}
		for h, n := range p.last.AwaitingFirstEvent {
			result.AwaitingFirstEvent[h] += n
		}
	}
	return result
}

// revisionFor returns the newest revision that concerns a process. The caller
// holds the lock.
func (c *Coordinator) revisionFor(req control.FleetSyncRequest) uint64 {
	if req.EntryHost {
		return c.registry.VisibleRevision()
	}
	return c.registry.Revision()
}

// peers returns the addresses of all coordinators that are known.
func (c *Coordinator) peers() []string {
	return c.member.known()
}

// follow mirrors the leader's view while another coordinator leads, so that a
// new leader knows the upstreams at once.
func (c *Coordinator) follow(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		leads := c.leads != nil
		req := c.mirror
		req.WaitMS = followWait.Milliseconds()
		c.mu.Unlock()
		if leads || c.node.Load() == nil {
			pause(ctx, followWait)
			continue
		}
		calling, cancel := context.WithTimeout(ctx, followWait+callTimeout)
		var result control.FleetSyncResult
		err := c.callLeader(calling, control.MethodFleetSync, req, &result)
		cancel()
		if err != nil {
			pause(ctx, tickInterval)
			continue
		}
		c.takeNews(result)
	}
}

// followWait is how long a follower's question waits for news at the leader.
const followWait = 500 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeNews brings the leader's news into the mirror.
func (c *Coordinator) takeNews(result control.FleetSyncResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads != nil {
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
	c.mirror.Session = result.Session
	c.mirror.Revision = result.Revision
	c.mirror.Index = result.Index
	c.member.learn(result.Coordinators)
}
