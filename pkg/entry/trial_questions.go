package entry

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// questionInterval is the mean time between questions of all entry hosts about one part.
	questionInterval = 250 * time.Millisecond
	// maxQuestionInterval limits the time between those of one entry host.
	maxQuestionInterval = 2 * time.Second
	// maxQuestioned limits the parts that are remembered.
	maxQuestioned = 1024
)

// trialQuestions limits how often an entry host asks for trials of suspect parts: popular ones are in
// many requests. It is safe for concurrent use.
type trialQuestions struct {
	mu   sync.Mutex
	next map[view.Fingerprint]time.Duration
}

// allow reports whether the entry host may ask about these parts now, and takes note of it. A
// question about no part is always allowed.
func (q *trialQuestions) allow(now time.Duration, parts []view.Fingerprint, entryHosts int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range parts {
		if now < q.next[f] {
			return false
		}
	}
	if len(q.next)+len(parts) > maxQuestioned || q.next == nil {
		q.next = map[view.Fingerprint]time.Duration{}
	}
	for _, f := range parts {
		q.next[f] = now + min(time.Duration(max(entryHosts, 1))*questionInterval, maxQuestionInterval)
	}
	return true
}
