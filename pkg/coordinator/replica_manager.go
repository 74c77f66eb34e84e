package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// assignmentFile is the name of the file that holds the replicaAssignment.
const assignmentFile = "place.json"

var errReplaced = eris.New("replica is no longer a member")

// replicaAssignment identifies this coordinator's replica. It is written to disk before the
// replica's folder is created.
type replicaAssignment struct {
	Replica        raft.ID        `json:"replica"`
	Cluster        string         `json:"cluster"`
	InitialMembers []replica.Peer `json:"first,omitempty"` // set only by the first start
}

// replicaManager keeps this process's replica running. It creates the replica, reopens it after a
// failed disk write, and requests a new assignment when the cluster removed it.
type replicaManager struct {
	coordinator *Coordinator

	mu    sync.Mutex
	peers []string // host:port of all known coordinators
}

// addresses returns the addresses of all coordinators, including this one.
func (m *replicaManager) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.peers)
}

// setAddresses replaces the known addresses of coordinators. The configured seeds may no longer
// exist.
func (m *replicaManager) setAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = slices.Clone(addresses)
	for _, a := range addresses {
		m.coordinator.caller.AddAddress(a)
	}
}

func (m *replicaManager) setMembers(ms raft.Membership) {
	addresses := make([]string, 0, len(ms.Members))
	for _, v := range ms.Members {
		addresses = append(addresses, v.Address)
	}
	m.setAddresses(addresses)
}

func (m *replicaManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.runReplica(ctx)
		if ctx.Err() != nil {
			return
		}
		m.coordinator.cfg.Logger.Error("replica stopped; reopening", "cause", err, "again_ms", reopenDelay.Milliseconds())
		clock.Sleep(ctx, reopenDelay)
	}
}

// runReplica opens the replica and waits until it ends.
func (m *replicaManager) runReplica(ctx context.Context) error {
	assignment, err := m.findAssignment(ctx)
	if err != nil {
		return err
	}
	store := durable.NewStore()
	node, err := replica.Open(m.replicaConfig(assignment, store))
	if err != nil {
		if unrecoverable(err) {
			return errors.Join(err, m.dropAssignment())
		}
		return err
	}
	m.coordinator.replica.Store(&openReplica{node: node, store: store, cluster: assignment.Cluster})
	m.coordinator.cfg.Logger.Info("replica opened", "replica", assignment.Replica, "cluster", assignment.Cluster)
	watching, end := context.WithCancel(ctx)
	defer end()
	var next replicaAssignment
	var replaced bool
	var check sync.WaitGroup
	check.Go(func() {
		if next, replaced = m.checkAssignment(watching, node, assignment); replaced {
			end()
		}
	})
	m.coordinator.watchLeadership(watching, node, store)
	end()
	check.Wait()
	if ctx.Err() != nil {
		m.coordinator.transferLeadership(node)
		m.coordinator.leaveQuorum(node)
	}
	m.coordinator.replica.Store(nil)
	m.coordinator.metrics.setReplicaState(control.ReplicaNone)
	m.coordinator.stepDown("replica stopped")
	node.Stop()
	if replaced {
		m.coordinator.cfg.Logger.Warn("replica assignment replaced", "replica", assignment.Replica, "successor", next.Replica)
		err := errors.Join(errReplaced, m.dropAssignment())
		if next.Replica != 0 {
			err = errors.Join(err, m.writeAssignment(next))
		}
		return err
	}
	err = node.Err()
	var refused *replica.RefusedError
	if eris.As(err, &refused) {
		return errors.Join(err, m.dropAssignment())
	}
	return err
}

// unrecoverable reports whether a replica's folder can never be opened again.
func unrecoverable(err error) bool {
	var damage *wal.CorruptionError
	return eris.As(err, &damage) || eris.Is(err, wal.ErrNoStore) || eris.Is(err, wal.ErrWrongStore)
}

func (m *replicaManager) replicaConfig(assignment replicaAssignment, store *durable.Store) replica.Config {
	cfg := replica.Config{
		ID:        assignment.Replica,
		ClusterID: assignment.Cluster,
		Address:   m.coordinator.cfg.PeerAddress,
		Dir:       m.replicaDir(assignment),
		FS:        m.coordinator.cfg.FS,
		Transport: m.coordinator.transport,
		Applier:   store,
		Logger:    m.coordinator.cfg.Logger,
		Members:   assignment.InitialMembers,

		ElectionTicks: electionTicks,
	}
	if _, err := os.Stat(filepath.Join(m.replicaDir(assignment), "identity.json")); errors.Is(err, fs.ErrNotExist) {
		cfg.Bootstrap = len(assignment.InitialMembers) > 0
		cfg.Join = !cfg.Bootstrap
	}
	return cfg
}

// replicaDir returns the folder of an assignment's replica. Each assignment has a folder of its
// own.
func (m *replicaManager) replicaDir(assignment replicaAssignment) string {
	return filepath.Join(m.coordinator.cfg.DataDir, "replica-"+strconv.FormatUint(uint64(assignment.Replica), 10))
}

// findAssignment returns the assignment on disk, or a new one.
func (m *replicaManager) findAssignment(ctx context.Context) (replicaAssignment, error) {
	raw, err := os.ReadFile(filepath.Join(m.coordinator.cfg.DataDir, assignmentFile))
	var assignment replicaAssignment
	if err == nil && json.Unmarshal(raw, &assignment) == nil && assignment.Replica != 0 {
		return assignment, nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return replicaAssignment{}, eris.Wrap(err, "read replica assignment")
	}
	if err == nil {
		m.coordinator.cfg.Logger.Warn("replica assignment on disk is invalid; requesting a new one", "bytes", len(raw))
	} else if m.coordinator.cfg.FirstStart && slices.Contains(m.coordinator.cfg.Seeds, m.coordinator.cfg.PeerAddress) {
		return m.bootstrapAssignment()
	}
	return m.requestAssignment(ctx)
}

// bootstrapAssignment derives the assignment of a first start. All coordinators have the same seed
// addresses and so derive the same cluster and initial members.
func (m *replicaManager) bootstrapAssignment() (replicaAssignment, error) {
	seeds := slices.Clone(m.coordinator.cfg.Seeds)
	sort.Strings(seeds)
	h := fnv.New64a()
	var assignment replicaAssignment
	for i, s := range seeds {
		_, _ = h.Write([]byte(s + "\n"))
		assignment.InitialMembers = append(assignment.InitialMembers, replica.Peer{ID: raft.ID(i + 1), Address: s})
		if s == m.coordinator.cfg.PeerAddress {
			assignment.Replica = raft.ID(i + 1)
		}
	}
	assignment.Cluster = strconv.FormatUint(h.Sum64(), 16)
	return assignment, m.writeAssignment(assignment)
}

// requestAssignment requests an assignment from the leader.
func (m *replicaManager) requestAssignment(ctx context.Context) (replicaAssignment, error) {
	m.coordinator.metrics.setReplicaState(control.ReplicaJoining)
	defer m.coordinator.metrics.setReplicaState(control.ReplicaNone)
	result, err := newJoiner(m.coordinator, replicaAssignment{}).run(ctx)
	if err != nil {
		return replicaAssignment{}, err
	}
	assignment := replicaAssignment{Replica: raft.ID(result.Replica), Cluster: result.Cluster}
	m.coordinator.cfg.Logger.Info("replica assignment received", "replica", assignment.Replica, "cluster", assignment.Cluster, "peers", result.Peers)
	return assignment, m.writeAssignment(assignment)
}

// writeAssignment writes the assignment to disk.
func (m *replicaManager) writeAssignment(assignment replicaAssignment) error {
	raw, err := json.Marshal(assignment)
	if err != nil {
		return eris.Wrap(err, "encode replica assignment")
	}
	return eris.Wrap(replaceFile(m.coordinator.cfg.FS, m.coordinator.cfg.DataDir, assignmentFile, raw), "write replica assignment")
}

// dropAssignment deletes the assignment and the replica's data; the next assignment has a folder of
// its own.
func (m *replicaManager) dropAssignment() error {
	entries, err := os.ReadDir(m.coordinator.cfg.DataDir)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	// Remove the assignment first: a replica folder without an assignment is never opened.
	if err := os.Remove(filepath.Join(m.coordinator.cfg.DataDir, assignmentFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove replica assignment")
	}
	if err := (disk.OS{}).SyncDir(m.coordinator.cfg.DataDir); err != nil {
		return eris.Wrap(err, "sync data folder")
	}
	m.coordinator.cfg.FirstStart = false
	for _, e := range entries {
		if e.IsDir() {
			if err := os.RemoveAll(filepath.Join(m.coordinator.cfg.DataDir, e.Name())); err != nil {
				return eris.Wrap(err, "remove replica folder")
			}
		}
	}
	return nil
}
