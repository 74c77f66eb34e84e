package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// MaxCommandBytes is the maximum size of one command.
const MaxCommandBytes = 8 << 20

const (
	inboundQueueSize       = 256
	requestQueueSize       = 1024
	maxPendingProposals    = 4096
	maxBatchEvents         = 1024 // requests and messages handled before one sync
	committedQueueSize     = 64
	maxCommittedBatchBytes = 1 << 20
	maxLearnedAddresses    = 64
	memberRetryTicks       = 2
	randomBytes            = 8
	initialWaiters         = 64
	snapshotQueueSize      = 1
)

// Node is a running replica.
type Node struct {
	cfg  Config
	core *raft.Core
	log  *wal.Log

	inbound           chan raft.Message
	proposals         chan *proposal
	reads             chan *readRequest
	commands          chan func()
	committed         chan committedBatch
	applyProgress     chan struct{} // signals that the applier has finished a batch
	snapshotPending   atomic.Bool   // a snapshot is being taken or written
	takenSnapshots    chan raft.Snapshot
	snapshotsToSave   chan raft.Snapshot
	savedSnapshots    chan raft.Snapshot
	leadershipChanges chan Leadership

	waiters        *proposalWaiters
	applied        *appliedIndex
	addresses      map[raft.ID]string // learned from messages; used by the core's goroutine only
	pendingReads   []*readRequest
	readBatches    map[uint64][]*readRequest
	lastReadToken  uint64
	lastLeadership Leadership
	unsavedMarks   []raft.Watermark // not written to the log yet
	openedAt       time.Time
	turnedAt       atomic.Int64 // when the core's goroutine waited for events last, in nanoseconds since openedAt

	stop       chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup
	done       chan struct{}
	mu         sync.Mutex
	err        error
}

// Open reads the directory, restores the Applier and starts the replica.
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
		cfg:               cfg,
		core:              raft.New(coreConfig(cfg, st)),
		log:               l,
		inbound:           make(chan raft.Message, inboundQueueSize),
		proposals:         make(chan *proposal, requestQueueSize),
		reads:             make(chan *readRequest, requestQueueSize),
		commands:          make(chan func()),
		committed:         make(chan committedBatch, committedQueueSize),
		applyProgress:     make(chan struct{}, 1),
		takenSnapshots:    make(chan raft.Snapshot, snapshotQueueSize),
		snapshotsToSave:   make(chan raft.Snapshot, snapshotQueueSize),
		savedSnapshots:    make(chan raft.Snapshot, snapshotQueueSize),
		leadershipChanges: make(chan Leadership, 1),
		waiters:           newProposalWaiters(),
		applied:           newAppliedIndex(st.Snapshot.Meta.Index),
		addresses:         map[raft.ID]string{},
		readBatches:       map[uint64][]*readRequest{},
		openedAt:          time.Now(),
		stop:              make(chan struct{}),
		done:              make(chan struct{}),
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

// randomNumber returns a random odd number that does not depend on the seed and is unique to this
// start.
func randomNumber() uint64 {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (n *Node) start() {
	n.goroutines.Add(3)
	go n.runCore()
	go n.runApply()
	go n.runSnapshots()
	go func() {
		n.goroutines.Wait()
		n.finish()
	}()
}

func (n *Node) finish() {
	if err := n.log.Close(); err != nil {
		n.cfg.Logger.Warn("cannot close the log", "replica", n.cfg.ID, "err", err)
	}
	n.waiters.failAll()
	close(n.done)
}

// Stop stops the replica and waits until it has stopped.
func (n *Node) Stop() {
	n.shutDown(nil)
	<-n.done
}

// Done returns a channel that is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Err returns the reason why the replica stopped by itself. It is nil after Stop.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// shutDown makes the replica stop. Only the reason of the first call is kept.
func (n *Node) shutDown(err error) {
	n.stopOnce.Do(func() {
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		if err != nil {
			n.cfg.Logger.Error("replica stops", "replica", n.cfg.ID, "err", err)
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

// Step accepts a message from the transport. It drops the message if the queue is full or the
// message is of another cluster.
func (n *Node) Step(m raft.Message) {
	if m.Cluster != n.cfg.ClusterID {
		return
	}
	select {
	case n.inbound <- m:
	default:
	}
}
