package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	// outboxSize is the number of raft messages that may wait for one peer. The raft core resends
	// those that are dropped.
	outboxSize = 256
	// sendTimeout limits the time to write one message to the connection.
	sendTimeout = time.Second
)

// peers holds the connections to other keepers, each with an outbox and a goroutine.
type peers struct {
	dial rpc.DialFunc

	mu     sync.Mutex
	byAddr map[string]*peer
	closed bool
}

type peer struct {
	client *rpc.Client
	outbox chan raft.Message
	stop   context.CancelFunc
}

func newPeers(dial rpc.DialFunc) *peers {
	return &peers{dial: dial, byAddr: make(map[string]*peer)}
}

// get returns the peer at an address, or nil after close.
func (p *peers) get(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	if existing, ok := p.byAddr[address]; ok {
		return existing
	}
	ctx, cancel := context.WithCancel(context.Background())
	created := &peer{
		client: rpc.NewClient(address, p.dial),
		outbox: make(chan raft.Message, outboxSize),
		stop:   cancel,
	}
	p.byAddr[address] = created
	go created.sendMessages(ctx)
	return created
}

func (p *peer) sendMessages(ctx context.Context) {
	defer p.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outbox:
			sending, cancel := context.WithTimeout(ctx, sendTimeout)
			_ = p.client.Notify(sending, string(control.MethodRaft), m)
			cancel()
		}
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, existing := range p.byAddr {
		existing.stop()
	}
}

// Transport sends raft messages to other keepers. It implements replica.Transport. It is separate
// from Keeper because the replica needs it before the keeper exists.
type Transport struct {
	peers *peers
}

// NewTransport returns a transport over connections that dial opens.
func NewTransport(dial rpc.DialFunc) *Transport {
	return &Transport{peers: newPeers(dial)}
}

// Send implements replica.Transport. It drops the message if the peer's outbox is full.
func (t *Transport) Send(_ raft.ID, address string, m raft.Message) {
	p := t.peers.get(address)
	if p == nil {
		return
	}
	select {
	case p.outbox <- m:
	default:
	}
}

// Close closes all connections.
func (t *Transport) Close() { t.peers.close() }
