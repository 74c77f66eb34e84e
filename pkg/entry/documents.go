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
	// fetchTimeout bounds a round of questions for a document.
	fetchTimeout = 1200 * time.Millisecond
	// fetchNext is the time after which the next coordinator is asked beside one
	// that has not answered: it may stand still or be cut off.
	fetchNext = 150 * time.Millisecond
	// fetchPause is the time until they are asked once more: a follower holds a
	// document some ways after the leader.
	fetchPause = 40 * time.Millisecond
)

// documents fetches new documents. The leader tells the version alone; the
// document comes from any coordinator, so that many entry hosts do not all load
// one small host.
type documents struct {
	mu      sync.Mutex
	version int64 // newest that the leader told of
	peers   []string
	work    chan struct{}
}

func newDocuments() *documents { return &documents{version: -1, work: make(chan struct{}, 1)} }

// wanted notes the version in force and the coordinators.
func (d *documents) wanted(version int64, peers []string) {
	d.mu.Lock()
	d.version = max(d.version, version)
	d.peers = peers
	d.mu.Unlock()
	select {
	case d.work <- struct{}{}:
	default:
	}
}

// run fetches until ctx ends.
func (d *documents) run(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.work:
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
			case <-time.After(fetchPause):
			}
		}
	}
}

// fetch asks the coordinators in random order, the next one whenever one has no
// answer or not the document, and puts it in force.
func (d *documents) fetch(ctx context.Context, g *Gateway, peers []string, version int64) {
	asking, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	results := make(chan bool, len(peers))
	open := 0
	for _, i := range rand.Perm(len(peers)) {
		open++
		go func() { results <- d.ask(asking, g, peers[i], version) }()
		select {
		case found := <-results:
			open--
			if found {
				return
			}
		case <-time.After(fetchNext):
		}
	}
	for ; open > 0; open-- {
		if <-results {
			return
		}
	}
}

// ask asks one coordinator; true says that the document is in force.
func (d *documents) ask(ctx context.Context, g *Gateway, peer string, version int64) bool {
	client := rpc.NewClient(peer, g.cfg.Dial)
	defer client.Close()
	var result control.FleetReadResult
	err := client.Call(ctx, string(control.MethodFleetDocument), control.FleetDocumentRequest{MinVersion: version}, &result)
	var raw []byte
	if err == nil && result.Document != nil {
		raw, err = result.Document.Raw()
	}
	if ctx.Err() == nil && err != nil {
		g.cfg.Logger.Warn("document was not handed out", "version", version, "coordinator", peer, "cause", err)
	}
	if err != nil || raw == nil {
		return false
	}
	g.putInForce(raw)
	return true
}
