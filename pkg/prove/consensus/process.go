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

// restartDelay is the time between a process's end and its restart.
const restartDelay = 150 * time.Millisecond

// process is one replica that restarts when it ends.
type process struct {
	w    *world
	id   raft.ID
	join bool
	disk *disk.Mem

	mu      sync.Mutex
	node    *replica.Node
	state   *registers
	alive   *atomic.Bool // of the running instance
	held    bool         // it stays down after its end
	failure error        // why it can't restart
	paused  atomic.Int64 // nanoseconds that its next send blocks
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

// run restarts the process until quit is closed or it can't start.
func (p *process) run() {
	defer close(p.ended)
	for {
		done, err := p.start()
		if err != nil {
			p.stopPermanently(err)
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

// awaitEnd waits for the end of the running instance. It returns true if the process
// must not restart.
func (p *process) awaitEnd(done <-chan struct{}) bool {
	select {
	case <-p.quit:
		p.kill()
		return true
	case <-done:
	}
	var refused *replica.RefusedError
	if err := p.node.Err(); errors.As(err, &refused) {
		p.stopPermanently(err)
		return true
	}
	p.kill()
	return false
}

// awaitRestart waits until the process may restart, and restores its disk. It returns
// false when the world is closed.
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

func (p *process) stopPermanently(err error) {
	p.w.net.Attach(p.id, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive.Store(false)
	p.failure = err
}

// kill ends the running instance at once. Data that is not synced is lost.
func (p *process) kill() {
	p.mu.Lock()
	node := p.node
	p.alive.Store(false)
	p.mu.Unlock()
	p.disk.Crash()
	node.Stop()
}

// setHeld sets whether the process stays down after its next end.
func (p *process) setHeld(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

// instance returns the current instance, which may have ended.
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

// pause blocks the process in its next send for d.
func (p *process) pause(d time.Duration) {
	p.paused.Store(int64(d))
}

// pausingTransport sends for one instance of a process. It drops the messages of an
// instance that has ended.
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
