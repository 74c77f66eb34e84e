package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Config holds the dependencies and settings of a Keeper.
type Config struct {
	Log       ReplicatedLog
	Store     *state.Store
	Clock     clock.Clock
	WallClock func() time.Time
	Dial      rpc.DialFunc
	Timing    Timing
	Events    EventSink
	HLC       *timeline.Recorder // hybrid logical clock that orders events across processes; nil: none
	Logger    *log.Logger
	Unsafe    Unsafe
}

// Keeper is one member of the replicated control plane, on top of its replica.
type Keeper struct {
	log       ReplicatedLog
	store     *state.Store
	clock     clock.Clock
	wallClock func() time.Time
	timing    Timing
	events    EventSink
	hlc       *timeline.Recorder
	logger    *log.Logger
	unsafe    Unsafe
	peers     *peers

	confirmer *leadershipConfirmer

	mu   sync.Mutex
	term *term // nil unless this keeper leads
}

// New returns a keeper, which does nothing by itself until Run.
func New(c Config) *Keeper {
	return &Keeper{
		log:       c.Log,
		store:     c.Store,
		clock:     c.Clock,
		wallClock: c.WallClock,
		timing:    c.Timing,
		events:    c.Events,
		hlc:       c.HLC,
		logger:    c.Logger,
		unsafe:    c.Unsafe,
		peers:     newPeers(c.Dial),
		confirmer: newLeadershipConfirmer(c.Log),
	}
}

// wallTime returns the wall-clock time to propose with a command.
func (k *Keeper) wallTime() view.Time {
	return view.Time(k.wallClock().UnixNano())
}

// Run does the work of a leader whenever the replica leads, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.peers.close()
	leading := &task{}
	defer leading.stopAndWait()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-k.log.Leadership():
			leading.stopAndWait()
			k.recordLeadership(l)
			if l.IsLeader {
				leading.start(ctx, func(ctx context.Context) { k.lead(ctx, l.Term) })
			}
		}
	}
}

func (k *Keeper) recordLeadership(l replica.Leadership) {
	if l.IsLeader {
		k.events.LeaderElected(l.Term)
	}
}

// lead confirms the leadership, then does the work of a leader until ctx ends.
func (k *Keeper) lead(ctx context.Context, number uint64) {
	if _, err := k.log.ReadIndex(ctx); err != nil {
		k.logger.Warn("leadership could not be confirmed; not leading in this term", "term", number, "err", err)
		return
	}
	t := newTerm(k, number)
	k.setTerm(t)
	defer k.setTerm(nil)
	t.run(ctx)
}

func (k *Keeper) setTerm(t *term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = t
}

// leadingTerm returns the term that this keeper leads, and false if it does not lead.
func (k *Keeper) leadingTerm() (*term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term, k.term != nil
}
