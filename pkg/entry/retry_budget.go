package entry

import "sync"

// retryBudget limits retries on further upstreams to a ratio of the requests plus a burst. Each
// entry host uses a fixed share, so that the global limit holds without coordination.
type retryBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64 // over all entry hosts
	tokens map[string]float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio * retryBudgetShare, burst: burst * retryBudgetShare, tokens: map[string]float64{}}
}

func (b *retryBudget) capacity(entries int) float64 {
	return b.burst / float64(entries+undiscoveredEntryHosts)
}

// addRequest credits the budget of a service with one client request.
func (b *retryBudget) addRequest(service string, entries int) {
	b.credit(service, entries, b.ratio)
}

// open gives a service its burst if it has had no request yet.
func (b *retryBudget) open(service string, entries int) { b.credit(service, entries, 0) }

func (b *retryBudget) credit(service string, entries int, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := b.capacity(entries)
	have, known := b.tokens[service]
	if !known {
		have = most
	}
	b.tokens[service] = min(have+amount, most)
}

// spend takes one retry from the budget. It reports whether there was one.
func (b *retryBudget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// available reports whether a retry could be taken from the budget now.
func (b *retryBudget) available(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[service] >= 1
}
