package entry

import (
	"fmt"
	"net/http"
)

// leavingValue is the value of Headers.Leaving at an upstream that leaves.
const leavingValue = "1"

// noteLeaving withholds new requests from an upstream that leaves.
func (g *Gateway) noteLeaving(id string, startedMS int64) {
	if g.balancer.markLeaving(id, startedMS) {
		g.cfg.Logger.Info("upstream says that it leaves", "upstream", id, "born", startedMS)
	}
}

// markLeaving records that an upstream leaves. It reports whether that is new.
func (b *balancer) markLeaving(id string, startedMS int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[id]
	if t == nil || t.StartedMS != startedMS || t.leaving {
		return false
	}
	t.leaving = true
	return true
}

// noteRelayedAnswer takes note of an upstream that says that it leaves in an answer which another entry
// host has relayed.
func (g *Gateway) noteRelayedAnswer(h http.Header) {
	var id string
	var startedMS int64
	_, err := fmt.Sscan(h.Get(relayUpstreamHeader), &id, &startedMS)
	h.Del(relayUpstreamHeader)
	if err == nil && h.Get(g.cfg.Headers.Leaving) == leavingValue {
		g.noteLeaving(id, startedMS)
	}
}
