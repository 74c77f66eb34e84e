package consensus

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// restartDelay is how long a dead process stays down.
const restartDelay = 150 * time.Millisecond

// process is one replica that is started again when it dies.
type process struct {
	w    *world
	id   raft.ID
	join bool
	disk *disk.Mem

	mu      sync.Mutex
	node    *replica.Node
	state   *registers
	alive   *atomic.Bool // of the running instance
	held    bool         // it is not started again yet
	failure error        // it can't be started again
	paused  atomic.Int64 // nanoseconds that its next send takes
	quit    chan struct{}
	ended   chan struct{}
}

func newProcess(w *world, id raft.ID, join bool) *process {
	return &process{
		w:     w,
		id:    id,
		join:  join,
		disk:  disk.NewMem(w.seed*100 + uint64(id)),
		quit:  make(chan struct{}),
		ended: make(chan struct{}),
	}
}

// run keeps the process up until quit.
func (p *process) run() {
	defer close(p.ended)
	for {
		done, err := p.start()
		if err != nil {
			p.fail(err)
			return
		}
		if p.awaitEnd(done) {
			return
		}
		if !p.awaitRestart() {
			return
		}
	}
}

func (p *process) start() (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := &atomic.Bool{}
	alive.Store(true)
	p.alive = alive
	p.state = newRegisters()
	node, err := replica.Open(p.config(alive))
	if err != nil {
		return nil, err
	}
	p.node = node
	p.w.net.Attach(p.id, func(m raft.Message) {
		if alive.Load() {
			node.Step(m)
		}
	})
	return node.Done(), nil
}

func (p *process) config(alive *atomic.Bool) replica.Config {
	return replica.Config{
		ID:            p.id,
		ClusterID:     "proof",
		Address:       "mem",
		Members:       p.w.members,
		Bootstrap:     !p.join,
		Join:          p.join,
		Dir:           "data",
		FS:            p.disk,
		Transport:     &pausingTransport{process: p, alive: alive, next: p.w.net.Transport()},
		Applier:       p.state,
		SnapshotEvery: p.w.opts.snapshotEvery,
		KeepEntries:   10,
		SegmentBytes:  4096,
		Seed:          p.w.seed*1000 + uint64(p.id),
		Unsafe:        p.w.opts.unsafe,
	}
}

// awaitEnd returns true when the world ends.
func (p *process) awaitEnd(done <-chan struct{}) bool {
	select {
	case <-p.quit:
		p.kill()
		return true
	case <-done:
	}
	var refused *replica.RefusedError
	if err := p.node.Err(); errors.As(err, &refused) {
		p.fail(err)
		return true
	}
	p.kill()
	return false
}

// awaitRestart brings the disk back after a while; false when the world ends.
func (p *process) awaitRestart() bool {
	for {
		select {
		case <-p.quit:
			return false
		case <-time.After(restartDelay):
		}
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if !held {
			p.disk.SetInjector(nil)
			if p.disk.Crashed() {
				p.disk.Restart()
			}
			return true
		}
	}
}

func (p *process) fail(err error) {
	p.w.net.Attach(p.id, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive.Store(false)
	p.failure = err
}

// kill ends the running instance at once; what it has not synced is lost.
func (p *process) kill() {
	p.mu.Lock()
	node := p.node
	p.alive.Store(false)
	p.mu.Unlock()
	p.disk.Crash()
	node.Stop()
}

// hold keeps the process down after its next death.
func (p *process) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

// instance returns what runs now.
func (p *process) instance() (*replica.Node, *registers, *atomic.Bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node, p.state, p.alive
}

func (p *process) up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node != nil && p.alive.Load()
}

func (p *process) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// pause stops the process in its next send for a time.
func (p *process) pause(d time.Duration) {
	p.paused.Store(int64(d))
}

// pausingTransport sends for one instance of a process. A dead process sends
// nothing.
type pausingTransport struct {
	process *process
	alive   *atomic.Bool
	next    replica.Transport
}

// Send implements replica.Transport. It blocks only to pause the process.
func (t *pausingTransport) Send(to raft.ID, address string, m raft.Message) {
	if d := t.process.paused.Swap(0); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if t.alive.Load() {
		t.next.Send(to, address, m)
	}
}
