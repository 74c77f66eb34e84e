package gates

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/proxy"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// syncInterval is the time between two syncs of a gate.
const syncInterval = 100 * time.Millisecond

// gate is a gate process: a real proxy with a minimal daemon around it.
type gate struct {
	world       *world
	self        view.Gate
	address     string // address of the callers' port
	proxy       *proxy.Proxy
	local       *permit.Local
	view        atomic.Pointer[view.View]
	lease       atomic.Int64 // end of the lease, in nanoseconds since the Unix epoch
	isolated    atomic.Bool  // cut off from the keepers
	leaving     atomic.Bool
	ignoreLease atomic.Bool  // takes work without a lease, for unguarded runs
	pausedUntil atomic.Int64 // end of the pause, in nanoseconds since the Unix epoch
	crashes     atomic.Int64 // number of reported crashes
	dead        atomic.Bool
	stop        context.CancelFunc
	servers     []*http.Server
}

// Valid implements proxy.Lease.
func (g *gate) Valid() bool {
	return g.ignoreLease.Load() || time.Now().UnixNano() < g.lease.Load()
}

func (w *world) startGate(name view.GateName, domain string, o proxy.Options) *gate {
	w.incarnations++
	g := &gate{
		world:   w,
		address: string(name) + ":80",
		self: view.Gate{
			Name:          name,
			Incarnation:   view.Incarnation(w.incarnations),
			FailureDomain: domain,
			PeerAddress:   string(name) + ":81",
		},
		local: permit.NewLocal(name),
	}
	g.view.Store(view.New())
	g.proxy = proxy.New(proxy.Config{
		Gate:    g.self,
		View:    g.view.Load,
		Lease:   g,
		Permits: g.local,
		Dial:    g.dial,
		OnCrash: func(proxy.CrashReport) { g.crashes.Add(1) },
		Options: o,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	w.spawn(func() { g.proxy.Run(ctx) })
	w.spawn(func() { g.syncLoop(ctx) })
	g.sync()
	callers, peers := echo.New(), echo.New()
	g.proxy.Register(callers)
	g.proxy.RegisterPeer(peers)
	g.servers = []*http.Server{w.serve(g.address, callers), w.serve(g.self.PeerAddress, peers)}
	w.mu.Lock()
	w.gates = append(w.gates, g)
	w.mu.Unlock()
	return g
}

func (g *gate) syncLoop(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.sync()
		}
	}
}

// sync renews the lease and puts the newest view in force.
func (g *gate) sync() {
	if g.isolated.Load() {
		return
	}
	g.waitPause()
	sent := time.Now()
	uses := g.proxy.Uses()
	final := g.leaving.Load() && g.proxy.Active() == 0
	time.Sleep(g.world.network.latency)
	v := g.world.keeper.sync(g.self, uses, final)
	time.Sleep(g.world.network.latency)
	if v.Revision > g.view.Load().Revision {
		g.view.Store(v)
		g.proxy.ViewChanged()
	}
	g.lease.Store(sent.Add(leaseTime).UnixNano())
}

// pause suspends the process for d: it neither syncs nor opens connections.
func (g *gate) pause(d time.Duration) { g.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

func (g *gate) waitPause() {
	if left := g.pausedUntil.Load() - time.Now().UnixNano(); left > 0 {
		time.Sleep(time.Duration(left))
	}
}

// dial opens a connection after the end of a pause, so that requests whose target was
// chosen before the pause are sent after it.
func (g *gate) dial(ctx context.Context, to string) (net.Conn, error) {
	before := time.Now()
	g.waitPause()
	if time.Since(before) > 0 {
		ctx = context.WithoutCancel(ctx)
	}
	return g.world.network.dial(ctx, g.self.PeerAddress, to)
}

// kill ends the gate's process.
func (g *gate) kill() {
	if g.dead.Swap(true) {
		return
	}
	g.isolated.Store(true)
	g.stop()
	g.world.network.kill(g.address)
	g.world.network.kill(g.self.PeerAddress)
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.proxy.Close()
}
