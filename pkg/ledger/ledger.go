package ledger

import "sync"

// Ledger collects entries of concurrent callers.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
}

// Add adds an entry.
func (l *Ledger) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

// Entries returns all entries in the order in which they were added.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}
