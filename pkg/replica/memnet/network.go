package memnet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// Conditions are the delays and losses of a network. Delays are uniformly distributed between
// MinDelay and MaxDelay; if these differ, messages may be reordered.
type Conditions struct {
	MinDelay  time.Duration
	MaxDelay  time.Duration
	Loss      float64 // probability that a message is lost
	Duplicate float64 // probability that a message is delivered twice
}

// Network connects replicas of one process.
type Network struct {
	mu       sync.Mutex
	rand     *rand.Rand
	quality  Conditions
	handlers map[raft.ID]func(raft.Message)
	blocked  map[link]bool
	filter   func(raft.Message) bool
	sent     int
}

type link struct{ from, to raft.ID }

// New returns a network whose losses and delays are determined by the seed.
func New(seed uint64, q Conditions) *Network {
	return &Network{
		rand:     rand.New(rand.NewPCG(seed, 2)),
		quality:  q,
		handlers: map[raft.ID]func(raft.Message){},
		blocked:  map[link]bool{},
	}
}

// Attach sets the function that receives a replica's messages; nil detaches the replica.
func (n *Network) Attach(id raft.ID, step func(raft.Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[id] = step
}

// Transport returns a transport that sends over the network.
func (n *Network) Transport() replica.Transport {
	return transport{n}
}

// SetConditions changes the delays and losses.
func (n *Network) SetConditions(q Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quality = q
}

// SetFilter sets a function that decides which messages are delivered; nil delivers all.
func (n *Network) SetFilter(pass func(raft.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.filter = pass
}

// Cut blocks messages from one replica to another.
func (n *Network) Cut(from, to raft.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = true
}

// Isolate blocks messages between a replica and the others in both directions.
func (n *Network) Isolate(id raft.ID, others ...raft.ID) {
	for _, o := range others {
		n.Cut(id, o)
		n.Cut(o, id)
	}
}

// Heal restores all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[link]bool{}
}

// SentMessages returns the number of messages sent so far.
func (n *Network) SentMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

type transport struct{ net *Network }

// Send implements replica.Transport.
func (t transport) Send(to raft.ID, _ string, m raft.Message) {
	for _, d := range t.net.copyDelays(to, m) {
		t.net.deliverAfter(to, m, d)
	}
}

// copyDelays returns a delay for each copy of a message to deliver, none if the message is lost.
func (n *Network) copyDelays(to raft.ID, m raft.Message) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.blocked[link{m.From, to}] || n.filter != nil && !n.filter(m) {
		return nil
	}
	if n.rand.Float64() < n.quality.Loss {
		return nil
	}
	ds := []time.Duration{n.randomDelay()}
	if n.rand.Float64() < n.quality.Duplicate {
		ds = append(ds, n.randomDelay())
	}
	return ds
}

func (n *Network) randomDelay() time.Duration {
	spread := int64(n.quality.MaxDelay - n.quality.MinDelay)
	if spread <= 0 {
		return n.quality.MinDelay
	}
	return n.quality.MinDelay + time.Duration(n.rand.Int64N(spread))
}

func (n *Network) deliverAfter(to raft.ID, m raft.Message, d time.Duration) {
	if d == 0 {
		n.handle(to, m)
		return
	}
	time.AfterFunc(d, func() { n.handle(to, m) })
}

func (n *Network) handle(to raft.ID, m raft.Message) {
	n.mu.Lock()
	step := n.handlers[to]
	n.mu.Unlock()
	if step != nil {
		step(m)
	}
}
