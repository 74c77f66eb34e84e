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
	// fetchTimeout bounds a question for a document to one coordinator.
	fetchTimeout = 600 * time.Millisecond
	// fetchPause is the time until another one is asked: a follower holds a
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
func (d *documents) run(ctx context.Context, g *Gate) {
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
			peer := peers[rand.IntN(len(peers))]
			if err := d.fetch(ctx, g, peer, version); err != nil {
				g.cfg.Logger.Warn("document was not handed out", "version", version, "coordinator", peer, "cause", err)
			}
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

// fetch asks one coordinator for a document and puts it in force.
func (d *documents) fetch(ctx context.Context, g *Gate, peer string, version int64) error {
	client := rpc.NewClient(peer, g.cfg.Dial)
	defer client.Close()
	calling, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var result control.FleetReadResult
	err := client.Call(calling, string(control.MethodFleetDocument), control.FleetDocumentRequest{Version: version}, &result)
	if err != nil || result.Document == nil {
		return err
	}
	raw, err := result.Document.Raw()
	if err != nil {
		return err
	}
	g.putInForce(raw)
	return nil
}
