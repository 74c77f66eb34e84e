package once

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	leaseTime   = 3 * time.Second
	freezeTime  = 10 * time.Second
	restartTime = 6 * time.Second
	keeperTime  = 5 * time.Second // that a keeper is away
)

// gate is one process of a gate.
type gate struct {
	world *world
	name  view.GateName
	inc   view.Incarnation
	proxy *serviceproxy.Proxy

	callers http.Handler // what callers reach
	peers   *http.Server // what other gates reach

	mu        sync.Mutex
	view      *view.View
	lease     time.Time // end of it
	dead      bool
	diedAt    time.Time
	frozen    bool
	silent    time.Time // until then its lease isn't renewed
	lapsed    bool      // the log was told that it is gone
	conns     map[*gateConn]struct{}
	violation string // first byte sent without the right to it
}

func newGate(w *world, name view.GateName, inc view.Incarnation) *gate {
	g := &gate{
		world: w,
		name:  name,
		inc:   inc,
		view:  w.view,
		lease: time.Now().Add(leaseTime),
		conns: make(map[*gateConn]struct{}),
	}
	permits := permit.NewLocal(name)
	permits.Install(w.view)
	g.proxy = serviceproxy.New(serviceproxy.Config{
		Gate:        name,
		Incarnation: inc,
		View:        g.inForce,
		Lease:       g,
		Records:     records{gate: g},
		Permits:     permits,
		Transport:   plaincall.New(g.dial),
		Unsafe:      w.plan.proxy,
	})
	g.callers = g.proxy
	if w.plan.handOver {
		g.servePeers(permits)
	}
	return g
}

// servePeers hands calls over to other gates and takes theirs.
func (g *gate) servePeers(permits *permit.Local) {
	g.callers = serviceproxy.NewHandoverHandler(g.proxy, permits.Capacity)
	g.peers = &http.Server{Handler: http.HandlerFunc(g.servePeer)}
	l := g.world.network.listen(peerAddress(g.name))
	g.world.spawn(func() { _ = g.peers.Serve(l) })
}

// servePeer answers another gate, unless this one dies before.
func (g *gate) servePeer(w http.ResponseWriter, r *http.Request) {
	kept := newReply()
	kept.serve(g.proxy, r)
	if g.isDead() || kept.broken {
		panic(http.ErrAbortHandler)
	}
	kept.copyTo(w)
}

func peerAddress(n view.GateName) string { return string(n) + ":1" }

func (g *gate) inForce() *view.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// Valid implements serviceproxy.Lease.
func (g *gate) Valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leased()
}

func (g *gate) leased() bool { return !g.dead && time.Now().Before(g.lease) }

// renew extends the lease of a gate that can be heard.
func (g *gate) renew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead || g.frozen || time.Now().Before(g.silent) {
		return
	}
	g.lease = time.Now().Add(leaseTime)
	g.lapsed = false
}

// lapse tells once that the lease has lapsed for sure.
func (g *gate) lapse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lapsed || time.Now().Before(g.lease.Add(time.Second)) {
		return false
	}
	g.lapsed = true
	return true
}

func (g *gate) isDead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

// died returns when a dead gate died.
func (g *gate) died() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.diedAt, g.dead
}

// strikeAt lets the planned fault happen if this is its step.
func (g *gate) strikeAt(s step) {
	what, ok := g.world.nextStrike(s)
	if !ok {
		return
	}
	switch what {
	case kill:
		g.kill()
	case freeze:
		g.setFrozen(true)
		time.Sleep(freezeTime)
		g.setFrozen(false)
	case silence:
		g.mu.Lock()
		g.silent = time.Now().Add(freezeTime)
		g.lease = time.Now()
		g.mu.Unlock()
	case leave:
		g.hostsLeave()
	case killLeader:
		g.world.killLeader()
	case cutLeader:
		g.world.quorum.IsolateLeader()
		g.world.later(keeperTime, g.world.quorum.Heal)
	}
}

func (g *gate) setFrozen(f bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = f
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
	g.diedAt = time.Now()
	for c := range g.conns {
		_ = c.Conn.Close()
	}
	if g.peers != nil {
		_ = g.peers.Close()
	}
}

// hostsLeave brings a view into force in which every host leaves, for a while.
func (g *gate) hostsLeave() {
	before := g.inForce()
	gone := before.Since(0)
	for i := range gone.Hosts.Put {
		gone.Hosts.Put[i].Value.Leaving = true
	}
	gone.To++
	v, err := before.Install(gone)
	if err != nil {
		panic(err)
	}
	g.setView(v)
	g.world.later(freezeTime, func() { g.setView(g.world.view) })
}

func (g *gate) setView(v *view.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = v
}

// dial opens a connection that carries this gate's faults.
func (g *gate) dial(ctx context.Context, _, address string) (net.Conn, error) {
	g.strikeAt(beforeDial)
	if g.isDead() {
		return nil, errDead
	}
	c, err := g.world.network.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	wrapped := &gateConn{Conn: c, gate: g, address: address}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[wrapped] = struct{}{}
	return wrapped, nil
}

// noteFirstByte checks that the gate has the right to send to a host.
func (g *gate) noteFirstByte(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leased() {
		g.violation = "first byte without a lease"
	}
	for _, e := range g.view.Hosts.Entries {
		if e.Value.Address == address && e.Value.Leaving {
			g.violation = "first byte to a host that leaves"
		}
	}
}
