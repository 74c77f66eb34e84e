package retry

import "sync"

// Budget bounds retries in progress by a share of the live requests.
type Budget struct {
	share float64
	least int

	mu      sync.Mutex
	live    int
	retries int
}

// NewBudget returns a budget of a share of live requests in [0,1], but at
// least a small number.
func NewBudget(share float64, least int) *Budget {
	return &Budget{share: share, least: least}
}

// Begin counts a live request.
func (b *Budget) Begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live++
}

// End counts it out, with the retries that it took.
func (b *Budget) End(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live--
	b.retries -= retries
}

// TryAcquire asks for one retry; End gives it back. A retry of what did not run adds
// no work to upstreams: these may be as many as live requests.
func (b *Budget) TryAcquire(notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share
	if notRun {
		share = 1
	}
	if b.retries >= max(b.least, int(share*float64(b.live))) {
		return false
	}
	b.retries++
	return true
}
