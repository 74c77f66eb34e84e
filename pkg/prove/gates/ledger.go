package gates

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// ledger records the requests that engines started.
type ledger struct {
	mu     sync.Mutex
	starts []startedRequest
}

// startedRequest is a request that entered an engine's batch.
type startedRequest struct {
	host   view.HostName
	prompt string
	at     time.Time
}

func (l *ledger) recordStart(host view.HostName, prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, startedRequest{host: host, prompt: prompt, at: time.Now()})
}

// ran reports whether any engine started a request with the prompt.
func (l *ledger) ran(prompt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.starts {
		if b.prompt == prompt {
			return true
		}
	}
	return false
}

// lastStart returns when a host last started a request.
func (l *ledger) lastStart(host view.HostName) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t time.Time
	for _, b := range l.starts {
		if b.host == host {
			t = b.at
		}
	}
	return t
}
