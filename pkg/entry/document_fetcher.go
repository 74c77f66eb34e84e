package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	// fetchTimeout bounds one round over all coordinators.
	fetchTimeout = 1200 * time.Millisecond
	// fetchNextDelay is the time after which the next coordinator is asked in parallel with one
	// that has not answered: it may be frozen or partitioned.
	fetchNextDelay = 150 * time.Millisecond
	// fetchRetryDelay is the delay between rounds: followers receive a document some network round
	// trips after the leader.
	fetchRetryDelay = 40 * time.Millisecond
)

// documentFetcher downloads new documents. The leader announces only the version; the document is
// read from any coordinator, so that many entry hosts do not overload a single small host.
type documentFetcher struct {
	mu      sync.Mutex
	version int64 // newest version announced by the leader
	peers   []string
	wake    chan struct{}
}

func newDocumentFetcher() *documentFetcher {
	return &documentFetcher{version: -1, wake: make(chan struct{}, 1)}
}

// request records the announced version and the known coordinators, and starts a download if
// necessary.
func (d *documentFetcher) request(version int64, peers []string) {
	d.mu.Lock()
	d.version = max(d.version, version)
	d.peers = peers
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run downloads documents until ctx ends.
func (d *documentFetcher) run(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for ctx.Err() == nil {
			d.mu.Lock()
			version, peers := d.version, d.peers
			d.mu.Unlock()
			if x := g.index.Load(); len(peers) == 0 || version < 0 || x != nil && x.Set.Version >= version {
				break
			}
			d.fetch(ctx, g, peers, version)
			if x := g.index.Load(); x != nil && x.Set.Version >= version {
				break
			}
			select {
			case <-ctx.Done():
			case <-time.After(fetchRetryDelay):
			}
		}
	}
}

// fetch asks the coordinators in random order until one of them returns the document, and installs
// it. The next coordinator is asked when the previous one has no answer, not the document, or is
// slow.
func (d *documentFetcher) fetch(ctx context.Context, g *Gateway, peers []string, version int64) {
	asking, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	results := make(chan bool, len(peers))
	open := 0
	for _, i := range rand.Perm(len(peers)) {
		open++
		go func() { results <- d.fetchFrom(asking, g, peers[i], version) }()
		select {
		case found := <-results:
			open--
			if found {
				return
			}
		case <-time.After(fetchNextDelay):
		}
	}
	for ; open > 0; open-- {
		if <-results {
			return
		}
	}
}

// fetchFrom asks one coordinator. It reports whether the document was received and installed.
func (d *documentFetcher) fetchFrom(ctx context.Context, g *Gateway, peer string, version int64) bool {
	client := rpc.NewClient(peer, g.cfg.Dial, rpc.WithMaxReply(MaxMessage))
	defer client.Close()
	var result control.FleetReadResult
	err := client.Call(ctx, string(control.MethodFleetDocument), control.FleetDocumentRequest{MinVersion: version}, &result)
	var raw []byte
	if err == nil && result.Document != nil {
		raw, err = result.Document.Raw()
	}
	if ctx.Err() == nil && err != nil {
		g.cfg.Logger.Warn("document download failed; asking another coordinator", "version", version, "coordinator", peer, "cause", err)
	}
	if err != nil || raw == nil {
		return false
	}
	g.installDocument(raw)
	return true
}
