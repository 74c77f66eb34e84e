package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	// placementTimeout bounds a placement call: several round trips between failure domains, yet
	// short compared to the objective for a first event.
	placementTimeout = 60 * time.Millisecond
	// placerRetryDelay is how long a placer that did not answer is not called.
	placerRetryDelay = 400 * time.Millisecond
	// updateBatchDelay batches placement updates into one message: short compared to the processing
	// time of a prompt.
	updateBatchDelay = 5 * time.Millisecond
	// updateTimeout bounds the delivery of one batch.
	updateTimeout = 500 * time.Millisecond
	// maxQueuedUpdates bounds the queue of updates. Further ones are dropped; the placer then
	// releases the placements at the deadlines of their requests.
	maxQueuedUpdates = 4096
)

// remotePlacer is another entry host that places requests of this one.
type remotePlacer struct {
	address string
	client  *rpc.Client
	process string // name of this entry host

	mu         sync.Mutex
	skipUntil  time.Duration // not called until then
	placements map[uint64]*placement
	started    []uint64
	ended      []uint64
	slowness   map[string]float64
	wake       chan struct{}
	stop       context.CancelFunc
}

func newRemotePlacer(address, process string, dial rpc.DialFunc) *remotePlacer {
	ctx, stop := context.WithCancel(context.Background())
	r := &remotePlacer{
		address: address, process: process, client: rpc.NewClient(address, dial, rpc.WithMaxReply(MaxMessage)),
		placements: map[uint64]*placement{}, slowness: map[string]float64{}, wake: make(chan struct{}, 1), stop: stop,
	}
	go r.sendUpdates(ctx)
	return r
}

// available reports whether the placer may be called now.
func (r *remotePlacer) available(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.skipUntil
}

// recordFailure suspends calls to a placer that did not answer.
func (r *remotePlacer) recordFailure(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipUntil = now + placerRetryDelay
}

func (r *remotePlacer) add(p *placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placements[p.number] = p
}

// responseStarted queues the report that a request got its first response data.
func (r *remotePlacer) responseStarted(number uint64) { r.queueUpdate(&r.started, number) }

// release queues the report that a placement ended, with the slowness of its head if known.
func (r *remotePlacer) release(number uint64, head string, slowness float64) {
	r.mu.Lock()
	delete(r.placements, number)
	if head != "" {
		r.slowness[head] = slowness
	}
	r.mu.Unlock()
	r.queueUpdate(&r.ended, number)
}

func (r *remotePlacer) queueUpdate(list *[]uint64, number uint64) {
	r.mu.Lock()
	if len(*list) < maxQueuedUpdates {
		*list = append(*list, number)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// sendUpdates sends queued updates until the placer is no longer used.
func (r *remotePlacer) sendUpdates(ctx context.Context) {
	defer r.client.Close()
	for {
		select {
		case <-ctx.Done():
			r.sendBatch() // updates queued since the last batch
			return
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(updateBatchDelay):
		}
		r.sendBatch()
	}
}

func (r *remotePlacer) sendBatch() {
	r.mu.Lock()
	req := control.FleetPlacedRequest{Process: r.process, Started: r.started, Ended: r.ended, Slowdown: r.slowness}
	r.started, r.ended, r.slowness = nil, nil, map[string]float64{}
	r.mu.Unlock()
	if len(req.Started)+len(req.Ended) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	// A lost update is compensated by the expiry of the placements.
	_ = r.client.Notify(ctx, string(control.MethodFleetPlaced), req)
}

// close stops using the placer and returns the placements that it still counts.
func (r *remotePlacer) close() []*placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	places := make([]*placement, 0, len(r.placements))
	for n, p := range r.placements {
		places = append(places, p)
		r.ended = append(r.ended, n)
	}
	clear(r.placements)
	r.stop()
	return places
}
