package retry

import "sync"

// Budget limits the retries in progress to a share of the live requests.
type Budget struct {
	share      float64
	minRetries int

	mu            sync.Mutex
	liveRequests  int
	activeRetries int
}

// NewBudget returns a budget that allows retries for a share of the live requests, in [0,1], and
// always at least a small fixed number.
func NewBudget(share float64, least int) *Budget {
	return &Budget{share: share, minRetries: least}
}

// Begin counts a live request.
func (b *Budget) Begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveRequests++
}

// End removes a live request together with its retries.
func (b *Budget) End(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveRequests--
	b.activeRetries -= retries
}

// TryAcquire requests one retry, which End returns. Retries of attempts that did not run add no
// work to upstreams, so they may be as many as the live requests.
func (b *Budget) TryAcquire(notRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share
	if notRun {
		share = 1
	}
	if b.activeRetries >= max(b.minRetries, int(share*float64(b.liveRequests))) {
		return false
	}
	b.activeRetries++
	return true
}
