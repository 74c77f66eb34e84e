package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// Coordinator is one process of the control plane.
type Coordinator struct {
	cfg       Config
	transport *keeper.Transport
	caller    *leader.Caller // finds the leader among the others
	member    *member
	metrics   *Metrics

	node atomic.Pointer[running]

	mu       sync.Mutex
	leads    *leadership // nil while another leads
	registry *fleet.Registry
	indexed  *catalog.Index // of the document in force here
	held     uint64         // index of the durable state that the registry has
	mirror   control.FleetSyncRequest

	kick chan struct{} // an event wants a decision
}

// running is an open replica with the state that it applies to.
type running struct {
	node    *replica.Node
	store   *durable.Store
	cluster string
}

// leadership is what a coordinator holds while it leads.
type leadership struct {
	session string
	term    uint64
	since   time.Duration
	planner *formation.Planner
	service string // that the planner plans for
	syncs   map[string]*processSync
	changed chan struct{} // closed at news for other processes
	orders  chan struct{} // places for open orders
	probing map[string]bool
	answers map[string]time.Duration // when a host last answered a probe
	traffic bool
	barred  map[string]bool
	encoded map[newsKey]encodedNews
	placers map[string]string // host:port of the entry host that places a model's requests; nil: not chosen yet

	load    map[string]float64 // engine time that requests need in a second, by model
	summary string             // last logged state of the groups
	told    time.Duration
}

// processSync is what a process last told.
type processSync struct {
	at   time.Duration
	last control.FleetSyncRequest
}

// New returns a coordinator that does not run yet.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg:       cfg,
		transport: keeper.NewTransport(cfg.Dial),
		caller:    leader.NewCaller(peersBut(cfg.Seeds, cfg.PeerAddress), cfg.Dial),
		registry:  fleet.NewRegistry(),
		metrics:   NewMetrics(),
		kick:      make(chan struct{}, 1),
	}
	c.mirror = control.FleetSyncRequest{Process: cfg.PeerAddress, Zone: cfg.Zone}
	c.member = &member{c: c}
	return c
}

// peersBut returns the addresses without one's own; the own one alone when
// there is no other.
func peersBut(addresses []string, own string) []string {
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

// Metrics returns the counters of this process.
func (c *Coordinator) Metrics() *Metrics { return c.metrics }

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.recall()
	var work sync.WaitGroup
	for _, duty := range []func(context.Context){c.member.run, c.decide, c.tend, c.follow, c.remember} {
		work.Go(func() { duty(ctx) })
	}
	work.Wait()
	c.transport.Close()
	c.caller.Close()
}

// handOver gives leadership to another voter before a clean stop.
func (c *Coordinator) handOver(node *replica.Node) {
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
		c.cfg.Logger.Info("leadership handed over", "replica", f.ID, "cause", err)
		if err == nil {
			return
		}
	}
}

// Register serves the calls of our own processes.
func (c *Coordinator) Register(s *rpc.Server) {
	rpc.Handle(s, string(control.MethodRaft), func(_ context.Context, m raft.Message) (struct{}, error) {
		if r := c.node.Load(); r != nil {
			r.node.Step(m)
		}
		return struct{}{}, nil
	})
	rpc.Handle(s, string(control.MethodFleetSync), c.sync)
	rpc.Handle(s, string(control.MethodFleetAnnounce), c.announced)
	rpc.Handle(s, string(control.MethodFleetDepart), c.departed)
	rpc.Handle(s, string(control.MethodFleetSuspect), c.suspected)
	rpc.Handle(s, string(control.MethodFleetChange), c.changed)
	rpc.Handle(s, string(control.MethodFleetRead), c.read)
	rpc.Handle(s, string(control.MethodFleetDocument), c.document)
	rpc.Handle(s, string(control.MethodFleetJoin), c.join)
}

// event asks for a decision soon.
func (c *Coordinator) event() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// news wakes the processes that wait for changes. The caller holds the lock.
func (l *leadership) news() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// leaderPeer returns the leader's host:port as this replica knows it, empty
// when it knows none.
func (c *Coordinator) leaderPeer() string {
	r := c.node.Load()
	if r == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := r.node.Status(ctx)
	if err != nil || st.Leader == 0 {
		return ""
	}
	m, ok := st.Membership.Member(st.Leader)
	if !ok || m.Address == c.cfg.PeerAddress && st.Role != raft.Leader {
		return ""
	}
	return m.Address
}
