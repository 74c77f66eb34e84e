package consensus

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	minNetworkDelay = time.Millisecond
	networkJitter   = 2 * time.Millisecond
	syncDelay       = 5 * time.Millisecond
	steadyTime      = 3 * time.Second
	commitTimeout   = time.Minute
)

// failOver measures, in virtual time and over many seeds, how long it takes until a new leader can
// commit after the leader fails at a random time.
func (s Sizes) failOver(context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, size := range []int{3, 5} {
		for _, unsafe := range []raft.Unsafe{{NoPreVote: true}, {}} {
			h := hdrhistogram.New(1, highestLatency, latencyDigits)
			first := hdrhistogram.New(1, highestLatency, latencyDigits)
			for seed := range s.Elections {
				r := newSimulation(uint64(seed), size, unsafe)
				_ = first.RecordValue(int64(r.runUntilCommit()))
				r.runUntil(r.now + steadyTime + time.Duration(r.rand.Int64N(int64(time.Second))))
				r.failLeader()
				_ = h.RecordValue(int64(r.runUntilCommit()))
			}
			variants = append(variants, failOverVariant(size, unsafe, h, first))
		}
	}
	return variants, nil
}

func failOverVariant(size int, unsafe raft.Unsafe, h, first *hdrhistogram.Histogram) bench.Variant {
	name := fmt.Sprintf("%d replicas, pre-vote", size)
	if unsafe.NoPreVote {
		name = fmt.Sprintf("%d replicas, no pre-vote", size)
	}
	figures := latencies(h)
	figures = append(figures, bench.Figure{Name: "first election p99", Value: milliseconds(first.ValueAtQuantile(percentile99)), Unit: "ms"})
	return bench.Variant{Name: name, Baseline: size == 3 && unsafe.NoPreVote, Figures: figures}
}

// simulation runs raft cores in virtual time.
type simulation struct {
	now          time.Duration
	rand         *rand.Rand
	queue        eventQueue
	lastSequence int
	cores        map[raft.ID]*raft.Core
	replicaCount int
	committed    bool // the leader of the highest term has committed in it
	highestTerm  uint64
}

func newSimulation(seed uint64, size int, unsafe raft.Unsafe) *simulation {
	r := &simulation{rand: rand.New(rand.NewPCG(seed, 6)), cores: map[raft.ID]*raft.Core{}, replicaCount: size}
	var members []raft.Member
	for id := raft.ID(1); int(id) <= size; id++ {
		members = append(members, raft.Member{ID: id, Address: "mem"})
	}
	for id := raft.ID(1); int(id) <= size; id++ {
		r.cores[id] = raft.New(raft.Config{
			ID:          id,
			Store:       uint64(id),
			Incarnation: 1,
			Nonce:       r.rand.Uint64(),
			Identity:    raft.Identity{Initial: members},
			Rand:        rand.New(rand.NewPCG(seed, uint64(id))),
			Unsafe:      unsafe,
		})
		r.after(time.Duration(r.rand.Int64N(int64(replica.DefaultTickInterval))), func() { r.tick(id) })
	}
	return r
}

func (r *simulation) after(d time.Duration, f func()) {
	r.lastSequence++
	heap.Push(&r.queue, event{at: r.now + d, sequence: r.lastSequence, run: f})
}

func (r *simulation) tick(id raft.ID) {
	c := r.cores[id]
	if c == nil {
		return
	}
	c.Tick()
	r.processReady(id)
	r.after(replica.DefaultTickInterval, func() { r.tick(id) })
}

// processReady handles the Ready of a core. Messages that depend on a sync are delayed by it.
func (r *simulation) processReady(id raft.ID) {
	c := r.cores[id]
	for c.HasReady() {
		rd := c.Ready()
		r.send(rd.EarlyMessages, 0)
		c.Advance(rd)
		delay := time.Duration(0)
		if rd.MustSync() {
			delay = syncDelay
		}
		r.send(rd.Messages, delay)
	}
	c.NextCommitted(1 << 20)
	b := c.BasicStatus()
	if b.Role == raft.Leader && b.Term > r.highestTerm && c.CommittedInTerm() {
		r.highestTerm = b.Term
		r.committed = true
	}
}

func (r *simulation) send(ms []raft.Message, delay time.Duration) {
	for _, m := range ms {
		r.after(delay+minNetworkDelay+time.Duration(r.rand.Int64N(int64(networkJitter))), func() {
			if c := r.cores[m.To]; c != nil {
				c.Step(m)
				r.processReady(m.To)
			}
		})
	}
}

func (r *simulation) runUntil(until time.Duration) {
	for r.now < until {
		r.step()
	}
}

func (r *simulation) step() {
	e := heap.Pop(&r.queue).(event)
	r.now = e.at
	e.run()
}

// runUntilCommit runs until a leader of a new term has committed, at most commitTimeout, and returns
// the virtual time that this took.
func (r *simulation) runUntilCommit() time.Duration {
	start := r.now
	r.committed = false
	for !r.committed && r.now-start < commitTimeout {
		r.step()
	}
	return r.now - start
}

func (r *simulation) failLeader() {
	for id := raft.ID(1); int(id) <= r.replicaCount; id++ {
		if b := r.cores[id].BasicStatus(); b.Role == raft.Leader && b.Term == r.highestTerm {
			delete(r.cores, id)
			return
		}
	}
}
