package entry

import "github.com/sesamemux/sesamemux/pkg/fleet"

// witnesses returns the addresses of up to n upstreams drawn at random, of different failure domains
// where there are as many.
func (b *balancer) witnesses(n int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first, rest []string
	zones := map[string]bool{}
	ready := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		if t.State == fleet.Ready {
			ready = append(ready, t)
		}
	}
	b.rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, t := range ready {
		if zones[t.Zone] {
			rest = append(rest, t.Address)
			continue
		}
		zones[t.Zone] = true
		first = append(first, t.Address)
	}
	all := append(first, rest...)
	return all[:min(n, len(all))]
}
