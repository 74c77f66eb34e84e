package control

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/gate"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// gateProcess is a gate that can be killed and restarted. It checks that the revision
// in force does not decrease.
type gateProcess struct {
	bed      *testbed
	name     view.GateName
	stop     func() // nil while it is down
	shutDown func() // shuts down gracefully and waits for the end

	running atomic.Pointer[gate.Gate] // nil while it is down

	mu        sync.Mutex
	highest   view.Revision // in force in the running process
	violation error         // last decrease of the revision in force
}

func newGateProcess(b *testbed, name view.GateName) *gateProcess {
	return &gateProcess{bed: b, name: name}
}

func (p *gateProcess) upstreamAddress() string { return string(p.name) + ":83" }

// start starts the gate.
func (p *gateProcess) start() {
	host := string(p.name)
	alive := &atomic.Bool{}
	alive.Store(true)
	dial := p.bed.dialer(host, alive)
	p.mu.Lock()
	p.highest = 0
	p.mu.Unlock()
	g := gate.New(gate.Config{
		Self:   view.Gate{Name: p.name, Incarnation: p.bed.incarnation(), FailureDomain: "fd-a", PeerAddress: host + ":81"},
		Caller: leader.NewCaller(p.bed.keeperAddresses(), dial),
		Clock:  clock.NewMonotonic(),
		Events: noEvents{},
		Logger: log.New(io.Discard),
		Source: noWork{},
		Limits: gate.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 16, HeaderTimeout: time.Second, MaxRequestTime: time.Minute, ShutdownNotice: p.bed.options.shutdownNotice},
		Listeners: gate.Listeners{
			Callers:   p.bed.net.Listen(host, host+":80"),
			Peers:     p.bed.net.Listen(host, host+":81"),
			Upstreams: p.bed.net.Listen(host, p.upstreamAddress()),
			RPC:       p.bed.net.Listen(host, host+":82"),
		},
		Dial: dial,
	})
	p.running.Store(g)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Serve(ctx, gateHandler{process: p, gate: g})
	}()
	p.stop = func() {
		alive.Store(false)
		p.bed.net.Kill(host)
		g.Lease().Release()
		cancel()
		<-done
	}
	p.shutDown = func() {
		cancel()
		if p.bed.options.closeOnShutdown {
			p.bed.net.Kill(host)
		}
		<-done
	}
}

// kill stops the process at once.
func (p *gateProcess) kill() {
	if p.stop == nil {
		return
	}
	p.running.Store(nil)
	p.stop()
	p.stop = nil
}

// takesWork reports whether the gate takes new work now.
func (p *gateProcess) takesWork() bool {
	g := p.running.Load()
	if g == nil {
		return false
	}
	return g.Lease().Valid() || (p.bed.options.ignoreLease && g.View().Revision > 0)
}

// inForce returns the view in force, or an empty view while the gate is down.
func (p *gateProcess) inForce() *view.View {
	if g := p.running.Load(); g != nil {
		return g.View()
	}
	return view.New()
}

func (p *gateProcess) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violation
}

// installed records the revision of a view that came into force.
func (p *gateProcess) installed(r view.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r < p.highest {
		p.violation = eris.Errorf("gate %s changed its view from revision %d back to %d", p.name, p.highest, r)
	}
	p.highest = r
}

// gateHandler handles the requests of one run of a gate.
type gateHandler struct {
	process *gateProcess
	gate    *gate.Gate
}

// ViewChanged implements gate.Handlers.
func (h gateHandler) ViewChanged() { h.process.installed(h.gate.View().Revision) }

// RegisterCallers implements gate.Handlers. It serves slow answers.
func (gateHandler) RegisterCallers(e *echo.Echo) { e.GET(slowPath, slowAnswer) }

// RegisterPeers implements gate.Handlers.
func (gateHandler) RegisterPeers(*echo.Echo) {}

// Drain implements gate.Handlers.
func (gateHandler) Drain() {}

// Finish implements gate.Handlers.
func (gateHandler) Finish(context.Context) error { return nil }

// noWork is the source of a gate without requests.
type noWork struct{}

// Uses implements gate.WorkSource.
func (noWork) Uses() []view.TargetUse { return nil }

// Settled implements gate.WorkSource. It returns every draining group.
func (noWork) Settled(v *view.View) []view.GroupID {
	var out []view.GroupID
	for _, id := range v.Groups.Keys() {
		if g, _ := v.Groups.Get(id); g.Draining {
			out = append(out, id)
		}
	}
	return out
}
