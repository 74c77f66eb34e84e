package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/census"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Coordinator is a process of the control plane.
type Coordinator struct {
	cfg            Config
	transport      *keeper.Transport
	caller         *leader.Caller // calls the leader among the other coordinators
	replicaManager *replicaManager
	metrics        *Metrics
	ends           *endcheck.Checker
	quorumChange   chan struct{} // semaphore of changes of the membership

	replica     atomic.Pointer[openReplica]
	knownLeader atomic.Pointer[string] // host:port of the leader, empty if unknown

	mu                sync.Mutex
	leadership        *leadership // nil while another coordinator leads
	following         *following  // nil while this one leads or knows no leader that takes reports
	registry          *fleet.Registry
	index             *catalog.Index // of the last document that was decoded for the planner
	documentDecodedAt time.Duration  // 0: never
	appliedIndex      uint64         // log index of the durable state applied to the registry
	followRequest     control.FleetSyncRequest
	unlisted          map[string]struct{} // upstreams known here that the leader has not named yet
	entryHosts        census.Count        // over changes of the leader, this coordinator or others

	joins             addressLocks  // one join of a coordinator at a time
	leaderChanged     signal        // another replica leads, or none
	decisionRequested chan struct{} // buffered signal to run the planner
	reportRequested   chan struct{} // buffered signal to report to the leader
}

// openReplica is a running replica with its store.
type openReplica struct {
	node    *replica.Node
	store   *durable.Store
	cluster string
}

// leadership is the state of a coordinator that exists only while it leads.
type leadership struct {
	syncServer
	term          uint64
	since         time.Duration
	planner       *formation.Planner
	service       string                    // the planner's service
	confirmations signal                    // entry hosts have confirmed changes
	changes       map[string]*pendingChange // committed lately
	orderSlots    chan struct{}             // semaphore of orders in flight
	probing       map[string]bool
	silentHosts   map[string]bool          // hosts that accept connections but did not answer the last probe
	probeAnswers  map[string]time.Duration // when a host last answered a probe
	traffic       bool
	cordonedHeads map[string]bool
	stopping      map[raft.ID]time.Duration // when a replica said that its coordinator stops
	crashes       *quarantine.Tracker
	limits        upstreamLimits
	orders        zoneOrders
	relays        relayList
	former        control.FleetSyncResult // what the former leader told last; empty if this coordinator did not follow it
	placers       map[string]string       // by model: host:port of the entry host that places its requests; nil if not chosen yet

	load            map[string]float64 // required engine time per second, by model
	loggedSummary   string             // last logged state of the groups
	summaryLoggedAt time.Duration
}

// New returns a coordinator that is not running yet.
func New(cfg Config) *Coordinator {
	if cfg.FS == nil {
		cfg.FS = disk.OS{}
	}
	c := &Coordinator{
		cfg:               cfg,
		transport:         keeper.NewTransport(cfg.Dial),
		caller:            leader.NewCaller(otherPeers(cfg.Seeds, cfg.PeerAddress), cfg.Dial),
		registry:          fleet.NewRegistry(),
		metrics:           NewMetrics(),
		quorumChange:      make(chan struct{}, 1),
		decisionRequested: make(chan struct{}, 1),
		reportRequested:   make(chan struct{}, 1),
	}
	c.caller.Exclude(cfg.PeerAddress)
	c.ends = endcheck.New(upstream.DialFunc(cfg.Dial), c.now, nil)
	c.followRequest = control.FleetSyncRequest{Process: cfg.PeerAddress, Zone: cfg.Zone}
	c.replicaManager = &replicaManager{coordinator: c}
	return c
}

// otherPeers returns the addresses except own, or own alone if there is no other.
func otherPeers(addresses []string, own string) []string {
	var others []string
	for _, a := range addresses {
		if a != own {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return []string{own}
	}
	return others
}

func (c *Coordinator) now() time.Duration { return time.Duration(c.cfg.Clock.Now()) }

// Metrics returns the metrics of this process.
func (c *Coordinator) Metrics() *Metrics { return c.metrics }

// Run runs the coordinator until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.loadUpstreams()
	c.loadEntryHosts()
	var work sync.WaitGroup
	for _, duty := range []func(context.Context){c.replicaManager.run, c.decisionLoop, c.maintainQuorum, c.followLeader, c.reportLoop, c.watchProcessor, c.saveUpstreamsLoop, c.saveEntryHostsLoop} {
		work.Go(func() { duty(ctx) })
	}
	work.Wait()
	c.transport.Close()
	c.caller.Close()
}

// transferLeadership transfers the leadership to another voter before a clean stop.
func (c *Coordinator) transferLeadership(node *replica.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := node.Status(ctx)
	if err != nil || st.Role != raft.Leader {
		return
	}
	for _, f := range st.Followers {
		if !st.Membership.IsVoter(f.ID) || !f.Active {
			continue
		}
		err := node.TransferLeadership(ctx, f.ID)
		c.cfg.Logger.Info("leadership transferred", "replica", f.ID, "cause", err)
		if err == nil {
			return
		}
	}
}

// Register registers the RPC methods for other sesamemux processes.
func (c *Coordinator) Register(s *rpc.Server) {
	rpc.Handle(s, string(control.MethodRaft), func(_ context.Context, m raft.Message) (struct{}, error) {
		if r := c.replica.Load(); r != nil {
			r.node.Step(m)
		}
		return struct{}{}, nil
	})
	rpc.Handle(s, string(control.MethodFleetSync), c.handleSync)
	rpc.Handle(s, string(control.MethodFleetAnnounce), c.handleAnnounce)
	rpc.Handle(s, string(control.MethodFleetDepart), c.handleDepart)
	rpc.Handle(s, string(control.MethodFleetSuspect), c.handleSuspect)
	rpc.Handle(s, string(control.MethodFleetBase), c.handleBase)
	rpc.Handle(s, string(control.MethodFleetChange), c.handleChange)
	rpc.Handle(s, string(control.MethodFleetRead), c.handleRead)
	rpc.Handle(s, string(control.MethodFleetDocument), c.handleDocument)
	rpc.Handle(s, string(control.MethodFleetJoin), c.handleJoin)
	rpc.Handle(s, string(control.MethodFleetLeave), c.handleLeave)
	rpc.Handle(s, string(control.MethodFleetRemoved), c.handleRemoved)
	rpc.Handle(s, string(control.MethodFleetRuns), c.handleRuns)
	rpc.Handle(s, string(control.MethodFleetTrial), c.handleTrial)
	rpc.Handle(s, string(control.MethodFleetCheckEnd), c.handleCheckEnd)
	rpc.Handle(s, string(control.MethodFleetReport), c.handleReport)
}

// requestDecision requests a run of the planner.
func (c *Coordinator) requestDecision() {
	select {
	case c.decisionRequested <- struct{}{}:
	default:
	}
}

// leaderAddress returns the leader's host:port as known to this replica, or an empty string.
func (c *Coordinator) leaderAddress() string {
	if a := c.knownLeader.Load(); a != nil && c.replica.Load() != nil {
		return *a
	}
	return ""
}

// noteLeader stores the leader's host:port as known to this replica.
func (c *Coordinator) noteLeader(st replica.Status) {
	address := ""
	if m, ok := st.Membership.Member(st.Leader); ok && (m.Address != c.cfg.PeerAddress || st.Role == raft.Leader) {
		address = m.Address
	}
	if before := c.knownLeader.Swap(&address); before == nil || *before != address {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.leaderChanged.broadcast()
	}
}

// withLeader returns a context for calls to the leader that ends early if this replica follows another
// one.
func (c *Coordinator) withLeader(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.mu.Lock()
	changed := c.leaderChanged.wait()
	c.mu.Unlock()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
