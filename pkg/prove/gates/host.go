package gates

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// host is one engine member.
type host struct {
	world   *world
	name    view.HostName
	address string
	engine  *engine.Engine
	server  *http.Server
	stop    context.CancelFunc
	dead    atomic.Bool
}

func (w *world) startHost(name view.HostName, m engine.ModelOptions) *host {
	w.incarnations++
	h := &host{world: w, name: name, address: string(name) + ":90"}
	h.engine = engine.New(engine.Options{
		Name:        name,
		Incarnation: view.Incarnation(w.incarnations),
		Address:     h.address,
		Model:       m,
		Dial: func(_, to string) (net.Conn, error) {
			return w.network.dial(context.Background(), h.address, to)
		},
		OnPrompt: func(prompt string) { w.ledger.began(h.name, prompt) },
		Crash:    h.kill,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	w.goes(func() { _ = h.engine.Run(ctx) })
	h.server = w.serve(h.address, h.engine.Handler())
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h
}

// kill ends the host's process.
func (h *host) kill() {
	if h.dead.Swap(true) {
		return
	}
	h.stop()
	h.world.network.kill(h.address)
	_ = h.server.Close()
}

// order makes the host the only member of a group that is in service.
func (h *host) order(id view.GroupID, epoch view.Epoch) error {
	return h.engine.ApplyOrder(order.Order{
		Host:        h.name,
		Incarnation: h.engine.Incarnation(),
		Kind:        order.KindServe,
		Fence:       epoch,
		Group:       id,
		Version:     "v1",
		Peers:       []string{h.address},
		LoadAllowed: true,
	})
}
