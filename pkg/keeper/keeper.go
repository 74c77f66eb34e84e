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

// Config holds what a keeper is built from.
type Config struct {
	Log       ReplicatedLog
	Store     *state.Store
	Clock     clock.Clock
	WallClock func() time.Time
	Dial      rpc.DialFunc
	Timing    Timing
	Events    EventSink
	HLC       *timeline.Recorder // joins the time lines of processes; nil: not joined
	Logger    *log.Logger
	Unsafe    Unsafe
}

// Keeper is one keeper daemon around its replica.
type Keeper struct {
	log    ReplicatedLog
	store  *state.Store
	clock  clock.Clock
	wall   func() time.Time
	timing Timing
	events EventSink
	stamps *timeline.Recorder
	logger *log.Logger
	unsafe Unsafe
	peers  *peers

	confirmer *confirmer

	mu   sync.Mutex
	term *term // nil while this keeper does not lead
}

// New returns a keeper; Run does its duties.
func New(c Config) *Keeper {
	return &Keeper{
		log:       c.Log,
		store:     c.Store,
		clock:     c.Clock,
		wall:      c.WallClock,
		timing:    c.Timing,
		events:    c.Events,
		stamps:    c.HLC,
		logger:    c.Logger,
		unsafe:    c.Unsafe,
		peers:     newPeers(c.Dial),
		confirmer: newConfirmer(c.Log),
	}
}

// wallTime is the time that a leader proposes.
func (k *Keeper) wallTime() view.Time {
	return view.Time(k.wall().UnixNano())
}

// Run follows the replica's leadership until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.peers.close()
	leading := &duty{}
	defer leading.end()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-k.log.Leadership():
			leading.end()
			k.recordLeadership(l)
			if l.IsLeader {
				leading.begin(ctx, func(ctx context.Context) { k.lead(ctx, l.Term) })
			}
		}
	}
}

func (k *Keeper) recordLeadership(l replica.Leadership) {
	if l.IsLeader {
		k.events.LeaderElected(l.Term)
	}
}

// lead does the duties of a leader until ctx ends.
func (k *Keeper) lead(ctx context.Context, number uint64) {
	if _, err := k.log.ReadIndex(ctx); err != nil {
		k.logger.Warn("leadership was not confirmed", "term", number, "err", err)
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

// leading returns the term that this keeper leads, if it does.
func (k *Keeper) leading() (*term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term, k.term != nil
}
