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
	keeperTime  = 5 * time.Second // how long a keeper is down or isolated
)

// gate is one process of a gate.
type gate struct {
	world       *world
	name        view.GateName
	incarnation view.Incarnation
	proxy       *serviceproxy.Proxy

	callers http.Handler // handles callers' requests
	peers   *http.Server // handles requests of other gates

	mu             sync.Mutex
	view           *view.View
	lease          time.Time // end of the lease
	dead           bool
	diedAt         time.Time
	frozen         bool
	renewAfter     time.Time // the lease is not renewed before
	reportedLapsed bool      // the lapse of the lease was reported to the log
	conns          map[*gateConn]struct{}
	violation      string // set if a first byte was sent without the right to send
}

func newGate(w *world, name view.GateName, inc view.Incarnation) *gate {
	g := &gate{
		world:       w,
		name:        name,
		incarnation: inc,
		view:        w.view,
		lease:       time.Now().Add(leaseTime),
		conns:       make(map[*gateConn]struct{}),
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

// servePeers makes the gate hand calls over to other gates and accept calls from them.
func (g *gate) servePeers(permits *permit.Local) {
	g.callers = serviceproxy.NewHandoverHandler(g.proxy, permits.Capacity)
	g.peers = &http.Server{Handler: http.HandlerFunc(g.servePeer)}
	l := g.world.network.listen(peerAddress(g.name))
	g.world.spawn(func() { _ = g.peers.Serve(l) })
}

// servePeer answers another gate, or aborts if this gate is dead by then.
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
	return g.hasLease()
}

func (g *gate) hasLease() bool { return !g.dead && time.Now().Before(g.lease) }

// renew extends the lease unless the gate is dead, frozen or has to lose its lease.
func (g *gate) renew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead || g.frozen || time.Now().Before(g.renewAfter) {
		return
	}
	g.lease = time.Now().Add(leaseTime)
	g.reportedLapsed = false
}

// takeLapse reports, once for each lapse, that the lease has certainly lapsed.
func (g *gate) takeLapse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reportedLapsed || time.Now().Before(g.lease.Add(time.Second)) {
		return false
	}
	g.reportedLapsed = true
	return true
}

func (g *gate) isDead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

// deathTime returns the time of a dead gate's death.
func (g *gate) deathTime() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.diedAt, g.dead
}

// injectAt injects the planned fault if this is its step.
func (g *gate) injectAt(s step) {
	what, ok := g.world.nextGateFault(s)
	if !ok {
		return
	}
	switch what {
	case killGate:
		g.kill()
	case freezeGate:
		g.setFrozen(true)
		time.Sleep(freezeTime)
		g.setFrozen(false)
	case lapseLease:
		g.mu.Lock()
		g.renewAfter = time.Now().Add(freezeTime)
		g.lease = time.Now()
		g.mu.Unlock()
	case hostLeaves:
		g.setHostsLeaving()
	case killLeader:
		g.world.killLeader()
	case isolateLeader:
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

// setHostsLeaving puts a view in force in which every host leaves, for freezeTime.
func (g *gate) setHostsLeaving() {
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

// dial opens a connection on which the gate's faults are injected.
func (g *gate) dial(ctx context.Context, _, address string) (net.Conn, error) {
	g.injectAt(beforeDial)
	if g.isDead() {
		return nil, errProcessDead
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

// checkFirstByte records a violation if the gate has no right to send to a host.
func (g *gate) checkFirstByte(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasLease() {
		g.violation = "first byte sent without a lease"
	}
	for _, e := range g.view.Hosts.Entries {
		if e.Value.Address == address && e.Value.Leaving {
			g.violation = "first byte sent to a leaving host"
		}
	}
}
