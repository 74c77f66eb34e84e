package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	// placeTimeout bounds the question for a place: some ways between failure
	// domains, and little against the objective of a first event.
	placeTimeout = 60 * time.Millisecond
	// placerPause is how long a placer that did not answer is not asked.
	placerPause = 400 * time.Millisecond
	// tellPause gathers what became of places into one message: short against
	// the time in which a prompt is read.
	tellPause = 5 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 500 * time.Millisecond
	// tellsWaiting bounds what is to be told; more is dropped, and the placer
	// frees the places when the requests' time is over.
	tellsWaiting = 4096
)

// remotePlacer is another entry host that places requests of this one.
type remotePlacer struct {
	address string
	client  *rpc.Client
	process string // of this entry host

	mu       sync.Mutex
	silentTo time.Duration // not asked until then
	open     map[uint64]*place
	begun    []uint64
	ended    []uint64
	slow     map[string]float64
	work     chan struct{}
	stop     context.CancelFunc
}

func newRemotePlacer(address, process string, dial rpc.DialFunc) *remotePlacer {
	ctx, stop := context.WithCancel(context.Background())
	r := &remotePlacer{
		address: address, process: process, client: rpc.NewClient(address, dial),
		open: map[uint64]*place{}, slow: map[string]float64{}, work: make(chan struct{}, 1), stop: stop,
	}
	go r.tell(ctx)
	return r
}

// asked tells whether the placer is to be asked now.
func (r *remotePlacer) asked(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.silentTo
}

// failed keeps questions from a placer that did not answer.
func (r *remotePlacer) failed(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentTo = now + placerPause
}

func (r *remotePlacer) hold(p *place) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[p.number] = p
}

// begin and end note what is to be told of a place.
func (r *remotePlacer) begin(number uint64) { r.note(&r.begun, number) }

func (r *remotePlacer) end(number uint64, head string, slowness float64) {
	r.mu.Lock()
	delete(r.open, number)
	if head != "" {
		r.slow[head] = slowness
	}
	r.mu.Unlock()
	r.note(&r.ended, number)
}

func (r *remotePlacer) note(list *[]uint64, number uint64) {
	r.mu.Lock()
	if len(*list) < tellsWaiting {
		*list = append(*list, number)
	}
	r.mu.Unlock()
	select {
	case r.work <- struct{}{}:
	default:
	}
}

// tell sends what became of places until the placer is not used any more.
func (r *remotePlacer) tell(ctx context.Context) {
	defer r.client.Close()
	for {
		select {
		case <-ctx.Done():
			r.send() // places that were given back at the last moment
			return
		case <-r.work:
		}
		select {
		case <-ctx.Done():
		case <-time.After(tellPause):
		}
		r.send()
	}
}

func (r *remotePlacer) send() {
	r.mu.Lock()
	req := control.FleetPlacedRequest{Process: r.process, Started: r.begun, Ended: r.ended, Slowdown: r.slow}
	r.begun, r.ended, r.slow = nil, nil, map[string]float64{}
	r.mu.Unlock()
	if len(req.Started)+len(req.Ended) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	// A loss is made good by the time limits of the places.
	_ = r.client.Notify(ctx, string(control.MethodFleetPlaced), req)
}

// close ends the use of the placer and returns the places that it still counts.
func (r *remotePlacer) close() []*place {
	r.mu.Lock()
	defer r.mu.Unlock()
	places := make([]*place, 0, len(r.open))
	for n, p := range r.open {
		places = append(places, p)
		r.ended = append(r.ended, n)
	}
	clear(r.open)
	r.stop()
	return places
}
