package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// engineProcess is a fake engine that announces itself to all gates in turn.
type engineProcess struct {
	bed    *testbed
	name   view.HostName
	host   string
	domain string
	fabric string
	engine *engine.Engine
	stop   func()
}

func newEngineProcess(b *testbed, i int) *engineProcess {
	part := i / 4
	return &engineProcess{
		bed:    b,
		name:   view.HostName(fmt.Sprintf("h%d", i+1)),
		host:   fmt.Sprintf("h%d", i+1),
		domain: "fd-" + string(rune('a'+part)),
		fabric: fmt.Sprintf("fabric-%d", part+1),
	}
}

func (p *engineProcess) address() string { return fmt.Sprintf("10.0.0.%s:80", p.host[1:]) }

// start starts the engine with a new incarnation.
func (p *engineProcess) start() {
	alive := &atomic.Bool{}
	alive.Store(true)
	dial := p.bed.dialer(p.host, alive)
	var gates []string
	for _, g := range p.bed.gates {
		gates = append(gates, g.upstreamAddress())
	}
	p.engine = engine.New(engine.Options{
		Name:          p.name,
		Incarnation:   p.bed.incarnation(),
		FailureDomain: p.domain,
		FabricDomain:  p.fabric,
		Address:       p.address(),
		Gates:         gates,
		Model:         engine.DefaultModelOptions(),
		Log:           log.New(io.Discard),
		Dial: func(_, address string) (net.Conn, error) {
			return dial(context.Background(), address)
		},
	})
	server := &http.Server{Handler: p.engine.Handler(), ReadHeaderTimeout: time.Second}
	listener := p.bed.net.Listen(p.host, p.address())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		_ = server.Serve(listener)
		done <- struct{}{}
	}()
	go func() {
		_ = p.engine.Run(ctx)
		done <- struct{}{}
	}()
	p.stop = func() {
		alive.Store(false)
		p.bed.net.Kill(p.host)
		cancel()
		_ = server.Close()
		<-done
		<-done
	}
}

// announceLeaving announces that the engine is about to stop. The engine goes on
// serving.
func (p *engineProcess) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.engine.AnnounceLeaving(ctx)
}

// kill stops the process at once.
func (p *engineProcess) kill() {
	if p.stop == nil {
		return
	}
	p.stop()
	p.stop = nil
}
