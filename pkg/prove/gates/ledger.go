package gates

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// ledger notes what engines began.
type ledger struct {
	mu     sync.Mutex
	begins []begin
}

// begin is one request that entered an engine's batch.
type begin struct {
	host   view.HostName
	prompt string
	at     time.Time
}

func (l *ledger) began(host view.HostName, prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begins = append(l.begins, begin{host: host, prompt: prompt, at: time.Now()})
}

// ran tells whether any engine began a prompt.
func (l *ledger) ran(prompt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.begins {
		if b.prompt == prompt {
			return true
		}
	}
	return false
}

// last returns when a host last began a request.
func (l *ledger) last(host view.HostName) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t time.Time
	for _, b := range l.begins {
		if b.host == host {
			t = b.at
		}
	}
	return t
}
