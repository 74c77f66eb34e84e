package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// crashesBorne is how many upstreams may break under equal requests before
	// these are refused.
	crashesBorne = 2
	// crashMemory is how long broken requests are remembered.
	crashMemory = 60 * time.Second
	// crashEntries bounds the requests remembered.
	crashEntries = 4096
)

// crashes remembers requests that ran on upstreams when these broke, by caller,
// path and content: one that breaks each upstream is not sent any further.
type crashes struct {
	mu   sync.Mutex
	seen map[string]*crashRecord
}

type crashRecord struct {
	upstreams map[string]bool
	last      time.Duration
}

func newCrashes() *crashes { return &crashes{seen: map[string]*crashRecord{}} }

// fingerprint names equal requests.
func fingerprint(organisation, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(organisation + "\x00" + path + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// broke notes that an upstream broke while it ran a request alone among those
// that began lately.
func (c *crashes) broke(now time.Duration, print, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.seen[print]
	if r == nil {
		if len(c.seen) >= crashEntries {
			c.forget(now)
		}
		if len(c.seen) >= crashEntries {
			return
		}
		r = &crashRecord{upstreams: map[string]bool{}}
		c.seen[print] = r
	}
	r.upstreams[upstream] = true
	r.last = now
}

// ranWell forgets a request that an upstream served.
func (c *crashes) ranWell(print string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, print)
}

// refuses tells whether a request broke too many upstreams.
func (c *crashes) refuses(now time.Duration, print string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.seen[print]
	return r != nil && now-r.last < crashMemory && len(r.upstreams) > crashesBorne
}

func (c *crashes) forget(now time.Duration) {
	for k, r := range c.seen {
		if now-r.last >= crashMemory {
			delete(c.seen, k)
		}
	}
}
