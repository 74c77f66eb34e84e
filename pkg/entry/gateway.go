package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/rendezvous"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Gateway serves client requests on an entry host.
type Gateway struct {
	cfg             Config
	caller          *leader.Caller
	suspects        *leader.Caller
	pool            *upstream.Pool
	relayPool       *upstream.Pool // connections to other entry hosts
	links           *linkWatcher
	relays          *relayPeers
	balancer        *balancer
	documentFetcher *documentFetcher
	placers         *placerDirectory
	hosted          *hostedPlacements
	budget          *retryBudget
	bodies          *bodyMemory
	ends            *endcheck.Checker
	guard           *quarantine.Guard
	questions       trialQuestions
	reporter        *runReporter
	runWatch        *runWatch
	trials          atomic.Uint64 // trials requested
	demand          *demand
	metrics         *Metrics
	requestLog      *requestLog

	leaderSession      string      // of the last sync result; only the sync loop uses it
	servedByFollower   atomic.Bool // the last sync result came from a coordinator that follows the leader
	installMu          sync.Mutex  // serializes document replacement, so that versions only increase
	index              atomic.Pointer[catalog.Index]
	lastSync           atomic.Int64 // time of the last successful sync
	linkLostAt         atomic.Int64 // when a coordinator last reached an upstream that refused this entry host
	started            time.Duration
	firstDocumentReady chan struct{} // closed when the first document is in force
	stopping           atomic.Bool
	ending             context.Context // done when requests whose answer has not begun must end
	endRequests        context.CancelFunc
	requestsEnd        atomic.Int64 // by when requests must end to be taken; 0: they may end at any time
}

// New returns a gateway that is not running yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:             cfg,
		caller:          leader.NewCaller(cfg.Coordinators, cfg.Dial, rpc.WithoutPings(), rpc.WithMaxReply(MaxMessage)),
		suspects:        leader.NewCaller(cfg.Coordinators, cfg.Dial, rpc.WithMaxReply(MaxMessage)),
		balancer:        newBalancer(cfg),
		documentFetcher: newDocumentFetcher(),
		placers:         newPlacerDirectory(cfg),
		hosted:          newHostedPlacements(),
		budget:          newRetryBudget(cfg.RetryRatio, cfg.RetryBurst),
		bodies:          &bodyMemory{most: cfg.BodyMemory},
		guard:           quarantine.NewGuard(),
		reporter:        newRunReporter(),
		demand:          newDemand(),
		metrics:         NewMetrics(),
	}
	g.runWatch = newRunWatch(g)
	g.relays = newRelayPeers(cfg.RelayAddress)
	g.links = newLinkWatcher(cfg, g.now, g.linkQuestion, g.balancer.witnesses, g.linksChanged)
	g.ends = endcheck.New(cfg.DialBackend, g.now, g.secondOpinion)
	g.started = g.now()
	g.balancer.startedAt = g.started
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.firstDocumentReady = make(chan struct{})
	g.requestLog = &requestLog{logger: cfg.Logger, suppressed: g.metrics.SuppressedLines}
	g.pool = newConnectionPool(g.links.dial)
	g.relayPool = newConnectionPool(upstream.DialFunc(cfg.Dial))
	return g
}

func newConnectionPool(dial upstream.DialFunc) *upstream.Pool {
	return upstream.NewPool(upstream.Options{
		Dial:               dial,
		ProbeAfter:         maxIdleReuse,
		MaxIdlePerUpstream: maxIdleConnsPerUpstream,
		FirstByteTimeout:   upstreamIdleTimeout,
		StallTimeout:       upstreamIdleTimeout,
	})
}

// linksChanged discards what failed while the links to upstreams were lost: it says nothing about the
// upstreams.
func (g *Gateway) linksChanged(cutOff bool) {
	g.balancer.forgetLinkFailures()
	g.metrics.CutOff.Set(0)
	if cutOff {
		g.metrics.CutOff.Set(1)
		g.pool.CloseIdle()
	}
}

func (g *Gateway) now() time.Duration { return time.Duration(g.cfg.Clock.Now()) }

// Metrics returns the metrics of this process.
func (g *Gateway) Metrics() *Metrics { return g.metrics }

// Ready reports whether the load balancer may send clients here, and if not, why.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.stopping.Load():
		return false, "stopping"
	case g.index.Load() == nil:
		return false, "no document is in force yet"
	}
	return true, ""
}

// BeginShutdown makes Ready fail. Requests are still served.
func (g *Gateway) BeginShutdown() { g.stopping.Store(true) }

// EndRequests answers all requests whose answer has not begun, since the process is about to exit.
// Answers that have begun go on.
func (g *Gateway) EndRequests() { g.endRequests() }

// Run synchronizes with the coordinators until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	syncRequest := control.FleetSyncRequest{Process: g.cfg.Name, Zone: g.cfg.Zone, EntryHost: true, AnyCoordinator: true}
	reached := false
	retry := syncRetry
	var work sync.WaitGroup
	work.Go(func() { g.documentFetcher.run(ctx, g) })
	work.Go(func() { g.reporter.run(ctx, g) })
	work.Go(func() { g.links.run(ctx) })
	for ctx.Err() == nil {
		err := g.syncOnce(ctx, &syncRequest)
		if (err == nil) != reached {
			reached = err == nil
			g.cfg.Logger.Info("connection to the coordinators changed", "reached", reached, "address", g.caller.Address(), "session", syncRequest.Session, "cause", err)
		}
		g.metrics.recordSync(err)
		if err != nil {
			clock.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxSyncRetry)
		} else {
			retry = syncRetry
		}
		g.pool.CloseExpired()
		g.relayPool.CloseExpired()
		g.expirePlacements(g.now())
	}
	g.runWatch.stop()
	work.Wait()
	g.applyPlacers(map[string]string{})
	g.caller.Close()
	g.suspects.Close()
	g.pool.Close()
	g.relayPool.Close()
}

// syncOnce performs one sync call to the leading coordinator.
func (g *Gateway) syncOnce(ctx context.Context, syncRequest *control.FleetSyncRequest) error {
	now := g.now()
	usage := g.balancer.localUsage(now)
	syncRequest.Running, syncRequest.AwaitingFirstEvent, syncRequest.SinceLastEventMS = usage.running, usage.pendingPrompts, usage.progress
	syncRequest.OfferedLoad, syncRequest.HasArrivals = g.demand.rates(now)
	syncRequest.Limits = g.balancer.limitReports(now)
	syncRequest.PlacerAddress = g.cfg.PlacerAddress
	if g.stopping.Load() {
		syncRequest.PlacerAddress = ""
	}
	syncRequest.RelayAddress = ""
	if ready, _ := g.Ready(); ready && !g.links.cutOff() {
		syncRequest.RelayAddress = g.cfg.RelayAddress
	}
	inForce := g.documentVersion()
	syncRequest.InForce = &inForce
	wait := min(max(syncWait, time.Duration(g.balancer.entryCount())*syncWaitPerEntryHost), maxSyncWait)
	syncRequest.WaitMS = wait.Milliseconds()
	calling, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	var result control.FleetSyncResult
	if err := g.caller.CallOnce(calling, control.MethodFleetSync, *syncRequest, &result); err != nil {
		return err
	}
	newer := result.Index >= syncRequest.Index && (result.Index != syncRequest.Index || result.Full)
	if newer {
		for _, f := range g.guard.PutInForce(g.now(), result.Quarantine) {
			g.reporter.cleared(f, g.guard.ProofOf(f), "")
		}
	}
	// Only afterwards, so that a new entry host serves nothing before it knows the quarantine.
	g.installSynced(result.Document)
	g.documentFetcher.request(result.DocumentVersion, result.Coordinators)
	for _, address := range g.balancer.applySync(g.now(), result, usage, newer) {
		g.pool.CloseIdleTo(address)
	}
	g.guard.SetEntryHosts(g.balancer.entryCount())
	g.metrics.Limited.Set(float64(g.balancer.limited.Load()))
	g.applyPlacers(result.Placers)
	g.relays.update(result.Relays)
	g.lastSync.Store(int64(g.now()))
	if result.Session != syncRequest.Session {
		g.cfg.Logger.Info("following a new leader session", "session", result.Session, "before", syncRequest.Session, "upstreams", len(result.Upstreams), "index", result.Index)
	}
	g.followLeader(result)
	syncRequest.Session = result.Session
	syncRequest.Revision = result.Revision
	syncRequest.LimitRevision = result.LimitRevision
	syncRequest.RelayRevision = result.RelayRevision
	syncRequest.Index = max(syncRequest.Index, result.Index)
	for _, p := range result.Coordinators {
		g.caller.AddAddress(p)
		g.suspects.AddAddress(p)
	}
	g.followServer(result)
	return nil
}

// installSynced puts a document in force that came with a sync result, if one did.
func (g *Gateway) installSynced(d *durable.Document) {
	if d == nil {
		return
	}
	raw, err := d.Raw()
	if err != nil {
		g.cfg.Logger.Error("document can't be unpacked; keeping the previous one", "version", d.Version, "cause", err)
		return
	}
	g.installDocument(raw)
}

// followLeader reports to a new leader what a former one may have known alone.
func (g *Gateway) followLeader(result control.FleetSyncResult) {
	if session := result.SessionOfLeader(); session != g.leaderSession {
		g.leaderSession = session
		g.reporter.resend(g.guard, g.now())
	}
}

// followServer moves to the coordinator that answers this entry host. Entry hosts spread over those
// that follow the leader, so that the leader has its processor for what only it can do.
func (g *Gateway) followServer(result control.FleetSyncResult) {
	answering := g.caller.Address()
	if result.Leader == "" { // an earlier version: only the leader answers
		g.servedByFollower.Store(false)
		g.suspects.HintLeader(answering)
		return
	}
	g.servedByFollower.Store(answering != result.Leader)
	g.suspects.HintLeader(result.Leader)
	if next := rendezvous.Choose(g.cfg.Name, result.Servers); next != "" && next != answering {
		g.caller.HintLeader(next)
	}
}

// documentVersion returns the version of the document in force, -1 if there is none.
func (g *Gateway) documentVersion() int64 {
	if x := g.index.Load(); x != nil {
		return x.Set.Version
	}
	return -1
}

// installDocument puts a document in force if it is newer than the present one.
func (g *Gateway) installDocument(raw []byte) {
	set, err := g.cfg.Decode(raw)
	if err != nil {
		g.cfg.Logger.Error("document is invalid; keeping the previous one", "bytes", len(raw), "cause", err)
		return
	}
	g.installMu.Lock()
	defer g.installMu.Unlock()
	if x := g.index.Load(); x != nil && x.Set.Version >= set.Version {
		return
	}
	if g.index.Swap(catalog.NewIndex(set)) == nil {
		close(g.firstDocumentReady)
	}
	g.metrics.DocumentVersion.Set(float64(set.Version))
	g.cfg.Logger.Info("document in force", "version", set.Version, "routes", len(set.Routes), "organisations", len(set.Organisations))
}

// reportSuspect tells the leading coordinator that a head stopped sending, unless this entry host may have
// lost its own links.
func (g *Gateway) reportSuspect(head string, silent time.Duration, refused bool) {
	req := control.FleetSuspectRequest{
		Process: g.cfg.Name, Head: head, SilentMS: silent.Milliseconds(), Refused: refused,
	}
	since := g.now() - min(silent, streamingHeadTimeout)
	go func() {
		if !g.links.confirm(since) {
			g.metrics.WithheldSuspicions.Inc()
			return
		}
		g.metrics.SuspectedHeads.Inc()
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		var none struct{}
		caller := g.suspects
		if g.servedByFollower.Load() {
			caller = g.caller // it reports a head to the leader once for all entry hosts
		}
		err := caller.CallOnce(ctx, control.MethodFleetSuspect, req, &none)
		if err != nil {
			// The first answer may have named the leader.
			err = g.suspects.CallOnce(ctx, control.MethodFleetSuspect, req, &none)
		}
		g.cfg.Logger.Info("head went silent", "head", head, "silent_ms", silent.Milliseconds(), "refused", refused, "told", err == nil, "cause", err)
	}()
}
