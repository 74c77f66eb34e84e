package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// relayBackoff is how long an entry host that failed or declined is not asked to relay, if there are
// others.
const relayBackoff = 500 * time.Millisecond

// relayPeers are the entry hosts that pass requests on to upstreams for others.
type relayPeers struct {
	own string // address of this entry host

	mu        sync.Mutex
	addresses []string
	running   map[string]int // own requests in progress, by address
	skipUntil map[string]time.Duration
}

func newRelayPeers(own string) *relayPeers {
	return &relayPeers{own: own, running: map[string]int{}, skipUntil: map[string]time.Duration{}}
}

// update takes over the leader's list; nil leaves the present one.
func (p *relayPeers) update(addresses []string) {
	if addresses == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == p.own })
	for a := range p.skipUntil {
		if !slices.Contains(p.addresses, a) {
			delete(p.skipUntil, a)
		}
	}
}

// choose returns the less busy of two peers drawn at random and counts a request there, or an empty
// address if none is left. Peers that failed lately come last.
func (p *relayPeers) choose(now time.Duration, tried map[string]bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fit, failing []string
	for _, a := range p.addresses {
		switch {
		case tried[a]:
		case now < p.skipUntil[a]:
			failing = append(failing, a)
		default:
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		fit = failing
	}
	if len(fit) == 0 {
		return ""
	}
	best := fit[rand.IntN(len(fit))]
	if other := fit[rand.IntN(len(fit))]; p.running[other] < p.running[best] {
		best = other
	}
	p.running[best]++
	return best
}

// release ends a request at a peer.
func (p *relayPeers) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address]--; p.running[address] <= 0 {
		delete(p.running, address)
	}
}

// recordFailure prefers other peers for some time.
func (p *relayPeers) recordFailure(now time.Duration, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipUntil[address] = now + relayBackoff
}

// hasOther reports whether there is a peer that was not tried.
func (p *relayPeers) hasOther(tried map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.addresses, func(a string) bool { return !tried[a] })
}
