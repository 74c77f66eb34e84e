package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Gateway is an entry host.
type Gateway struct {
	cfg       Config
	caller    *leader.Caller
	suspects  *leader.Caller
	pool      *upstream.Pool
	balancer  *balancer
	documents *documents
	placing   *placing
	placer    *placer
	budget    *budget
	demand    *demand
	metrics   *Metrics
	lines     *lines

	forcing  sync.Mutex // held while the index is replaced: it never goes back
	index    atomic.Pointer[catalog.Index]
	synced   atomic.Int64 // when the last news came
	started  time.Duration
	first    chan struct{} // closed when the first document is in force
	stopping atomic.Bool
}

// New returns an entry host that does not run yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:       cfg,
		caller:    leader.NewCaller(cfg.Coordinators, cfg.Dial),
		suspects:  leader.NewCaller(cfg.Coordinators, cfg.Dial),
		balancer:  newBalancer(cfg),
		documents: newDocuments(),
		placing:   newPlacing(cfg),
		placer:    newPlacer(),
		budget:    newBudget(cfg.RetryRatio, cfg.RetryBurst),
		demand:    newDemand(),
		metrics:   NewMetrics(),
	}
	g.started = g.now()
	g.first = make(chan struct{})
	g.lines = &lines{logger: cfg.Logger, suppressed: g.metrics.SuppressedLines}
	g.pool = upstream.NewPool(upstream.Options{
		Dial:               cfg.DialBackend,
		ProbeAfter:         idleReuse,
		MaxIdlePerUpstream: idlePerUpstream,
		FirstByteTimeout:   upstreamSilence,
		StallTimeout:       upstreamSilence,
	})
	return g
}

func (g *Gateway) now() time.Duration { return time.Duration(g.cfg.Clock.Now()) }

// Metrics returns the counters of this process.
func (g *Gateway) Metrics() *Metrics { return g.metrics }

// Ready tells whether the balancer may send clients here, and if not, why.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.stopping.Load():
		return false, "stopping"
	case g.index.Load() == nil:
		return false, "no document is in force yet"
	}
	return true, ""
}

// BeginShutdown makes Ready fail. Requests are still taken.
func (g *Gateway) BeginShutdown() { g.stopping.Store(true) }

// Run follows the coordinators until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	held := control.FleetSyncRequest{Process: g.cfg.Name, Zone: g.cfg.Zone, EntryHost: true}
	reached := false
	var fetching sync.WaitGroup
	fetching.Go(func() { g.documents.run(ctx, g) })
	for ctx.Err() == nil {
		err := g.syncOnce(ctx, &held)
		if (err == nil) != reached {
			reached = err == nil
			g.cfg.Logger.Info("coordinators", "reached", reached, "address", g.caller.Address(), "session", held.Session, "cause", err)
		}
		g.metrics.sync(err)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(syncRetry):
			}
		}
		g.pool.CloseExpired()
		g.expire(g.now())
	}
	fetching.Wait()
	g.followPlacers(map[string]string{})
	g.caller.Close()
	g.suspects.Close()
	g.pool.Close()
}

// syncOnce asks the leading coordinator for news.
func (g *Gateway) syncOnce(ctx context.Context, held *control.FleetSyncRequest) error {
	now := g.now()
	own := g.balancer.tell(now)
	held.Running, held.AwaitingFirstEvent, held.SinceLastEventMS = own.running, own.unread, own.progress
	held.OfferedLoad, held.HasArrivals = g.demand.rates(now)
	held.PlacerAddress = g.cfg.PlacerAddress
	if g.stopping.Load() {
		held.PlacerAddress = ""
	}
	wait := min(max(syncWait, time.Duration(g.balancer.entryCount())*syncWaitEach), syncWaitMost)
	held.WaitMS = wait.Milliseconds()
	calling, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	var result control.FleetSyncResult
	if err := g.caller.CallOnce(calling, control.MethodFleetSync, *held, &result); err != nil {
		return err
	}
	g.documents.wanted(result.DocumentVersion, result.Coordinators)
	newer := result.Index >= held.Index && (result.Index != held.Index || result.Full)
	for _, address := range g.balancer.take(g.now(), result, own, newer) {
		g.pool.CloseIdleTo(address)
	}
	g.followPlacers(result.Placers)
	g.synced.Store(int64(g.now()))
	if result.Session != held.Session {
		g.cfg.Logger.Info("leader followed", "session", result.Session, "before", held.Session, "upstreams", len(result.Upstreams), "index", result.Index)
	}
	held.Session = result.Session
	held.Revision = result.Revision
	held.Index = max(held.Index, result.Index)
	for _, p := range result.Coordinators {
		g.caller.AddAddress(p)
		g.suspects.AddAddress(p)
	}
	g.suspects.HintLeader(g.caller.Address())
	return nil
}

// putInForce replaces the document by a newer one.
func (g *Gateway) putInForce(raw []byte) {
	set, err := g.cfg.Decode(raw)
	if err != nil {
		g.cfg.Logger.Error("document can't be read; the former one stays", "bytes", len(raw), "cause", err)
		return
	}
	g.forcing.Lock()
	defer g.forcing.Unlock()
	if x := g.index.Load(); x != nil && x.Set.Version >= set.Version {
		return
	}
	if g.index.Swap(catalog.NewIndex(set)) == nil {
		close(g.first)
	}
	g.metrics.DocumentVersion.Set(float64(set.Version))
	g.cfg.Logger.Info("document in force", "version", set.Version, "routes", len(set.Routes), "organisations", len(set.Organisations))
}

// report tells the coordinator that a head went silent.
func (g *Gateway) report(t *target, silent time.Duration, refused bool) {
	req := control.FleetSuspectRequest{
		Process: g.cfg.Name, Head: t.ID, SilentMS: silent.Milliseconds(), Refused: refused,
	}
	g.metrics.SuspectedHeads.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		var none struct{}
		err := g.suspects.CallOnce(ctx, control.MethodFleetSuspect, req, &none)
		if err != nil {
			// The answer may have named the leader.
			err = g.suspects.CallOnce(ctx, control.MethodFleetSuspect, req, &none)
		}
		g.cfg.Logger.Info("head went silent", "head", t.ID, "silent_ms", silent.Milliseconds(), "refused", refused, "told", err == nil, "cause", err)
	}()
}
