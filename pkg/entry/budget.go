package entry

import "sync"

// budget bounds how often requests go to a second upstream: a part of the
// requests, and a burst. Each entry host keeps to its own share, so that the
// sum over all keeps to the bound without asking.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64 // over all entry hosts
	tokens map[string]float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio * ownBudget, burst: burst * ownBudget, tokens: map[string]float64{}}
}

func (b *budget) most(entries int) float64 { return b.burst / float64(entries+entriesToCome) }

// arrived counts a client's request for a service.
func (b *budget) arrived(service string, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := b.most(entries)
	have, known := b.tokens[service]
	if !known {
		have = most
	}
	b.tokens[service] = min(have+b.ratio, most)
}

// spend takes one repeat and tells whether there was one.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
