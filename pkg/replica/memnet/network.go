package memnet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// Conditions is how a network treats messages. Delays are uniform between the
// two; a spread reorders.
type Conditions struct {
	MinDelay  time.Duration
	MaxDelay  time.Duration
	Loss      float64 // share of messages
	Duplicate float64 // share of messages
}

// Network joins replicas of one process.
type Network struct {
	mu      sync.Mutex
	rand    *rand.Rand
	quality Conditions
	steps   map[raft.ID]func(raft.Message)
	cut     map[link]bool
	filter  func(raft.Message) bool
	sent    int
}

type link struct{ from, to raft.ID }

// New returns a network whose losses and delays follow a seed.
func New(seed uint64, q Conditions) *Network {
	return &Network{
		rand:    rand.New(rand.NewPCG(seed, 2)),
		quality: q,
		steps:   map[raft.ID]func(raft.Message){},
		cut:     map[link]bool{},
	}
}

// Attach lets a replica receive; nil detaches it.
func (n *Network) Attach(id raft.ID, step func(raft.Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.steps[id] = step
}

// Transport returns the sending side.
func (n *Network) Transport() replica.Transport {
	return transport{n}
}

// SetConditions changes how messages are treated.
func (n *Network) SetConditions(q Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quality = q
}

// SetFilter lets a function decide which messages pass; nil passes all.
func (n *Network) SetFilter(pass func(raft.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.filter = pass
}

// Cut drops what one replica sends to another.
func (n *Network) Cut(from, to raft.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

// Isolate cuts a replica off from the others, both ways.
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
	n.cut = map[link]bool{}
}

// SentMessages returns how many messages were sent so far.
func (n *Network) SentMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

type transport struct{ net *Network }

// Send implements replica.Transport.
func (t transport) Send(to raft.ID, _ string, m raft.Message) {
	for _, d := range t.net.plan(to, m) {
		t.net.deliver(to, m, d)
	}
}

// plan returns a delay for each copy that will arrive.
func (n *Network) plan(to raft.ID, m raft.Message) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.cut[link{m.From, to}] || n.filter != nil && !n.filter(m) {
		return nil
	}
	if n.rand.Float64() < n.quality.Loss {
		return nil
	}
	ds := []time.Duration{n.delay()}
	if n.rand.Float64() < n.quality.Duplicate {
		ds = append(ds, n.delay())
	}
	return ds
}

func (n *Network) delay() time.Duration {
	spread := int64(n.quality.MaxDelay - n.quality.MinDelay)
	if spread <= 0 {
		return n.quality.MinDelay
	}
	return n.quality.MinDelay + time.Duration(n.rand.Int64N(spread))
}

func (n *Network) deliver(to raft.ID, m raft.Message, d time.Duration) {
	if d == 0 {
		n.arrive(to, m)
		return
	}
	time.AfterFunc(d, func() { n.arrive(to, m) })
}

func (n *Network) arrive(to raft.ID, m raft.Message) {
	n.mu.Lock()
	step := n.steps[to]
	n.mu.Unlock()
	if step != nil {
		step(m)
	}
}
