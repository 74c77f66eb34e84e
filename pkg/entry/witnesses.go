package entry

import "github.com/sesamemux/sesamemux/pkg/fleet"

// witness is an upstream that may show whether the links of this entry host work.
type witness struct{ address, service string }

// witnesses returns up to n upstreams drawn at random, of different failure domains where there are as
// many.
func (b *balancer) witnesses(n int) []witness {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first, rest []witness
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
			rest = append(rest, witness{t.Address, t.Service})
			continue
		}
		zones[t.Zone] = true
		first = append(first, witness{t.Address, t.Service})
	}
	all := append(first, rest...)
	return all[:min(n, len(all))]
}
