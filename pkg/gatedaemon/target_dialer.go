package gatedaemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// serviceDialTimeout bounds the dial to a plain service.
const serviceDialTimeout = 2 * time.Second

// targetDialer opens the connections that carry requests: to other gates as the
// links between processes are, to upstreams plain. Each gate's address of any
// view that was in force stays known, so that no request that was meant for a
// gate leaves unprotected while views change.
type targetDialer struct {
	view      func() *view.View
	toGate    upstream.DialFunc
	protected bool

	mu    sync.Mutex
	known uint64 // revision that was learned last
	gates map[string]struct{}
}

func newTargetDialer(l *access.Transport, v func() *view.View) *targetDialer {
	return &targetDialer{
		view:      v,
		toGate:    l.DialOver(upstream.DialTCP, access.Gate),
		protected: l.TLSEnabled(),
		gates:     make(map[string]struct{}),
	}
}

// learn takes in the gates of the view in force.
func (t *targetDialer) learn() {
	v := t.view()
	t.mu.Lock()
	defer t.mu.Unlock()
	if uint64(v.Revision) == t.known {
		return
	}
	t.known = uint64(v.Revision)
	for _, name := range v.Gates.Keys() {
		g, _ := v.Gates.Get(name)
		t.gates[g.PeerAddress] = struct{}{}
	}
}

func (t *targetDialer) isGate(address string) bool {
	t.learn()
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.gates[address]
	return ok
}

// dial implements upstream.DialFunc.
func (t *targetDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if t.protected && t.isGate(address) {
		return t.toGate(ctx, address)
	}
	return upstream.DialTCP(ctx, address)
}

// dialService implements plaincall.DialFunc.
func (t *targetDialer) dialService(ctx context.Context, network, address string) (net.Conn, error) {
	if t.protected && t.isGate(address) {
		return t.toGate(ctx, address)
	}
	d := net.Dialer{Timeout: serviceDialTimeout}
	return d.DialContext(ctx, network, address)
}
