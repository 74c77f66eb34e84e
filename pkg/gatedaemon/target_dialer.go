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

// serviceDialTimeout limits dialling a plain service.
const serviceDialTimeout = 2 * time.Second

// targetDialer opens the connections that carry requests: to other gates with the TLS of the
// links between processes, to upstreams without TLS. It remembers the gate addresses of all
// views that were in force, so that no request meant for a gate is sent without TLS while
// views change.
type targetDialer struct {
	view      func() *view.View
	toGate    upstream.DialFunc
	protected bool

	mu            sync.Mutex
	knownRevision uint64 // last revision processed by updateGates
	gates         map[string]struct{}
}

func newTargetDialer(l *access.Transport, v func() *view.View) *targetDialer {
	return &targetDialer{
		view:      v,
		toGate:    l.DialOver(upstream.DialTCP, access.Gate),
		protected: l.TLSEnabled(),
		gates:     make(map[string]struct{}),
	}
}

// updateGates adds the gates of the view in force.
func (t *targetDialer) updateGates() {
	v := t.view()
	t.mu.Lock()
	defer t.mu.Unlock()
	if uint64(v.Revision) == t.knownRevision {
		return
	}
	t.knownRevision = uint64(v.Revision)
	for _, name := range v.Gates.Keys() {
		g, _ := v.Gates.Get(name)
		t.gates[g.PeerAddress] = struct{}{}
	}
}

func (t *targetDialer) isGate(address string) bool {
	t.updateGates()
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
