package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// MaxCommandBytes bounds one command.
const MaxCommandBytes = 8 << 20

const (
	inboundMessages   = 256
	queuedRequests    = 1024
	pendingProposals  = 4096
	drainLimit        = 1024 // requests and messages taken into one batch
	applyBatches      = 64
	applyBatchBytes   = 1 << 20
	learntAddresses   = 64
	memberRetryTicks  = 2
	randomBytes       = 8
	waitersHintSize   = 64
	snapshotQueueSize = 1
)

// Node is a running replica.
type Node struct {
	cfg  Config
	core *raft.Core
	log  *wal.Log

	inbound   chan raft.Message
	proposals chan *proposal
	reads     chan *readRequest
	commands  chan func()
	batches   chan applyBatch
	progress  chan struct{} // the applier has taken a batch
	saving    atomic.Bool   // a snapshot is on its way to the disk
	taken     chan raft.Snapshot
	toSave    chan raft.Snapshot
	saved     chan raft.Snapshot
	leaders   chan Leadership

	waiters   *waiters
	applied   *appliedIndex
	addresses map[raft.ID]string // learnt from messages; of the core's goroutine
	batch     []*readRequest
	readSets  map[uint64][]*readRequest
	readToken uint64
	announced Leadership
	marks     []raft.Watermark // not written yet

	stop     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
	done     chan struct{}
	mu       sync.Mutex
	err      error
}

// Open reads the folder, restores the Applier and starts the replica.
func Open(cfg Config) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l, st, err := wal.Open(walOptions(cfg))
	if err != nil {
		return nil, err
	}
	if st.Snapshot.Meta.Index > 0 {
		if err := cfg.Applier.Restore(st.Snapshot.Data); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	n := newNode(cfg, l, st)
	n.start()
	return n, nil
}

func walOptions(cfg Config) wal.Options {
	return wal.Options{
		FS:            cfg.FS,
		Dir:           cfg.Dir,
		ClusterID:     cfg.ClusterID,
		ReplicaID:     cfg.ID,
		Create:        cfg.Bootstrap || cfg.Join,
		StoreID:       randomNumber(),
		Identity:      raft.Identity{Active: cfg.Join, Initial: cfg.initialMembers()},
		SegmentBytes:  cfg.SegmentBytes,
		SyncEachEntry: cfg.SyncEachEntry,
		Unsafe:        cfg.Unsafe.Log,
	}
}

func newNode(cfg Config, l *wal.Log, st *wal.State) *Node {
	return &Node{
		cfg:       cfg,
		core:      raft.New(coreConfig(cfg, st)),
		log:       l,
		inbound:   make(chan raft.Message, inboundMessages),
		proposals: make(chan *proposal, queuedRequests),
		reads:     make(chan *readRequest, queuedRequests),
		commands:  make(chan func()),
		batches:   make(chan applyBatch, applyBatches),
		progress:  make(chan struct{}, 1),
		taken:     make(chan raft.Snapshot, snapshotQueueSize),
		toSave:    make(chan raft.Snapshot, snapshotQueueSize),
		saved:     make(chan raft.Snapshot, snapshotQueueSize),
		leaders:   make(chan Leadership, 1),
		waiters:   newWaiters(),
		applied:   newAppliedIndex(st.Snapshot.Meta.Index),
		addresses: map[raft.ID]string{},
		readSets:  map[uint64][]*readRequest{},
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func coreConfig(cfg Config, st *wal.State) raft.Config {
	seed := cfg.Seed
	if seed == 0 {
		seed = randomNumber()
	}
	return raft.Config{
		ID:              cfg.ID,
		Store:           st.Identity.StoreID,
		Incarnation:     st.Identity.Incarnation,
		Nonce:           randomNumber(),
		Identity:        st.Identity.Raft,
		HardState:       st.HardState,
		Snapshot:        st.Snapshot,
		Entries:         st.Entries,
		Watermarks:      st.Marks,
		ElectionTicks:   cfg.ElectionTicks,
		HeartbeatTicks:  cfg.HeartbeatTicks,
		TrailingEntries: cfg.KeepEntries,
		Rand:            mrand.New(mrand.NewPCG(seed, uint64(cfg.ID)<<32+st.Identity.Incarnation)),
		Unsafe:          cfg.Unsafe.Raft,
	}
}

// randomNumber returns a number that no other start gets, whatever the seed.
func randomNumber() uint64 {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (n *Node) start() {
	n.running.Add(3)
	go n.runCore()
	go n.runApply()
	go n.runSnapshots()
	go func() {
		n.running.Wait()
		n.finish()
	}()
}

func (n *Node) finish() {
	if err := n.log.Close(); err != nil {
		n.cfg.Logger.Warn("close log", "replica", n.cfg.ID, "err", err)
	}
	n.waiters.failAll()
	close(n.done)
}

// Stop ends the replica and waits for it.
func (n *Node) Stop() {
	n.end(nil)
	<-n.done
}

// Done is closed when the replica has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Err tells why the replica ended by itself; nil after Stop.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// end begins the end of the replica. The first reason stays.
func (n *Node) end(err error) {
	n.stopOnce.Do(func() {
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		if err != nil {
			n.cfg.Logger.Error("replica ends", "replica", n.cfg.ID, "err", err)
		}
		close(n.stop)
	})
}

func (n *Node) stopping() bool {
	select {
	case <-n.stop:
		return true
	default:
		return false
	}
}

// Step takes a message from the transport. It drops it when too many wait.
func (n *Node) Step(m raft.Message) {
	if m.Cluster != n.cfg.ClusterID {
		return
	}
	select {
	case n.inbound <- m:
	default:
	}
}
