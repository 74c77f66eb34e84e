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
	oneWay     = time.Millisecond
	oneWaySpan = 2 * time.Millisecond
	syncTime   = 5 * time.Millisecond
	steadyTime = 3 * time.Second
	raceLimit  = time.Minute
)

// failOver measures in virtual time, over many seeds, how long no leader can
// commit after the leader dies at a random moment.
func (s Sizes) failOver(context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, size := range []int{3, 5} {
		for _, unsafe := range []raft.Unsafe{{NoPreVote: true}, {}} {
			h := hdrhistogram.New(1, highestLatency, latencyDigits)
			first := hdrhistogram.New(1, highestLatency, latencyDigits)
			for seed := range s.Elections {
				r := newRace(uint64(seed), size, unsafe)
				_ = first.RecordValue(int64(r.untilCommit()))
				r.run(r.now + steadyTime + time.Duration(r.rand.Int64N(int64(time.Second))))
				r.killLeader()
				_ = h.RecordValue(int64(r.untilCommit()))
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
	figures = append(figures, bench.Figure{Name: "first election p99", Value: milliseconds(first.ValueAtQuantile(quantileNearMax)), Unit: "ms"})
	return bench.Variant{Name: name, Baseline: size == 3 && unsafe.NoPreVote, Figures: figures}
}

// race runs cores in virtual time.
type race struct {
	now    time.Duration
	rand   *rand.Rand
	queue  eventQueue
	order  int
	cores  map[raft.ID]*raft.Core
	size   int
	commit bool // the leader of the highest term has committed in it
	term   uint64
}

func newRace(seed uint64, size int, unsafe raft.Unsafe) *race {
	r := &race{rand: rand.New(rand.NewPCG(seed, 6)), cores: map[raft.ID]*raft.Core{}, size: size}
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

func (r *race) after(d time.Duration, f func()) {
	r.order++
	heap.Push(&r.queue, event{at: r.now + d, order: r.order, do: f})
}

func (r *race) tick(id raft.ID) {
	c := r.cores[id]
	if c == nil {
		return
	}
	c.Tick()
	r.work(id)
	r.after(replica.DefaultTickInterval, func() { r.tick(id) })
}

// work carries out Ready; a sync delays what depends on it.
func (r *race) work(id raft.ID) {
	c := r.cores[id]
	for c.HasReady() {
		rd := c.Ready()
		r.post(rd.EarlyMessages, 0)
		c.Advance(rd)
		delay := time.Duration(0)
		if rd.MustSync() {
			delay = syncTime
		}
		r.post(rd.Messages, delay)
	}
	c.NextCommitted(1 << 20)
	b := c.BasicStatus()
	if b.Role == raft.Leader && b.Term > r.term && c.CommittedInTerm() {
		r.term = b.Term
		r.commit = true
	}
}

func (r *race) post(ms []raft.Message, delay time.Duration) {
	for _, m := range ms {
		r.after(delay+oneWay+time.Duration(r.rand.Int64N(int64(oneWaySpan))), func() {
			if c := r.cores[m.To]; c != nil {
				c.Step(m)
				r.work(m.To)
			}
		})
	}
}

func (r *race) run(until time.Duration) {
	for r.now < until {
		r.step()
	}
}

func (r *race) step() {
	e := heap.Pop(&r.queue).(event)
	r.now = e.at
	e.do()
}

// untilCommit runs until a leader of a new term has committed, and returns
// how long it took.
func (r *race) untilCommit() time.Duration {
	start := r.now
	r.commit = false
	for !r.commit && r.now-start < raceLimit {
		r.step()
	}
	return r.now - start
}

func (r *race) killLeader() {
	for id := raft.ID(1); int(id) <= r.size; id++ {
		if b := r.cores[id].BasicStatus(); b.Role == raft.Leader && b.Term == r.term {
			delete(r.cores, id)
			return
		}
	}
}
