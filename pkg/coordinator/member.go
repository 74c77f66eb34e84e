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

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// placeName is the file that says which replica a folder holds.
const placeName = "place.json"

// place is which replica of which cluster this coordinator is. It is on disk
// before the replica's folder is set up.
type place struct {
	Replica raft.ID        `json:"replica"`
	Cluster string         `json:"cluster"`
	First   []replica.Peer `json:"first,omitempty"` // the first membership, for a first start
}

// member keeps this process's replica open: it sets it up, opens it again
// when its disk refused a write, and asks for another place when the others
// took this one away.
type member struct {
	c *Coordinator

	mu    sync.Mutex
	peers []string // host:port of all coordinators that were named
}

// known returns the addresses of all coordinators, the own one included.
func (m *member) known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.peers)
}

// learn takes addresses of coordinators: the ones that were given at the start
// may be gone.
func (m *member) learn(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = slices.Clone(addresses)
	for _, a := range addresses {
		if a != m.c.cfg.PeerAddress {
			m.c.caller.AddAddress(a)
		}
	}
}

func (m *member) learnMembers(ms raft.Membership) {
	addresses := make([]string, 0, len(ms.Members))
	for _, v := range ms.Members {
		addresses = append(addresses, v.Address)
	}
	m.learn(addresses)
}

func (m *member) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.once(ctx)
		if ctx.Err() != nil {
			return
		}
		m.c.cfg.Logger.Error("replica is not open", "cause", err, "again_ms", reopenPause.Milliseconds())
		pause(ctx, reopenPause)
	}
}

// once opens the replica and waits for its end.
func (m *member) once(ctx context.Context) error {
	p, err := m.find(ctx)
	if err != nil {
		return err
	}
	store := durable.NewStore()
	node, err := replica.Open(m.replicaConfig(p, store))
	if err != nil {
		if unusable(err) {
			return errors.Join(err, m.clear())
		}
		return err
	}
	m.c.node.Store(&running{node: node, store: store, cluster: p.Cluster})
	m.c.cfg.Logger.Info("replica opened", "replica", p.Replica, "cluster", p.Cluster)
	m.c.watchLeadership(ctx, node, store)
	if ctx.Err() != nil {
		m.c.handOver(node)
	}
	m.c.node.Store(nil)
	m.c.stepDown("the replica ended")
	node.Stop()
	err = node.Err()
	var refused *replica.RefusedError
	if eris.As(err, &refused) {
		return errors.Join(err, m.clear())
	}
	return err
}

// unusable tells whether a folder will never open again as it is.
func unusable(err error) bool {
	var damage *wal.CorruptionError
	return eris.As(err, &damage) || eris.Is(err, wal.ErrNoStore) || eris.Is(err, wal.ErrWrongStore)
}

func (m *member) replicaConfig(p place, store *durable.Store) replica.Config {
	cfg := replica.Config{
		ID:        p.Replica,
		ClusterID: p.Cluster,
		Address:   m.c.cfg.PeerAddress,
		Dir:       m.folder(p),
		Transport: m.c.transport,
		Applier:   store,
		Logger:    m.c.cfg.Logger,
		Members:   p.First,

		ElectionTicks: electionTicks,
	}
	if _, err := os.Stat(filepath.Join(m.folder(p), "identity.json")); errors.Is(err, fs.ErrNotExist) {
		cfg.Bootstrap = len(p.First) > 0
		cfg.Join = !cfg.Bootstrap
	}
	return cfg
}

// folder is the replica's own: a later place gets another.
func (m *member) folder(p place) string {
	return filepath.Join(m.c.cfg.DataDir, "replica-"+strconv.FormatUint(uint64(p.Replica), 10))
}

// find returns the place on disk, or a new one.
func (m *member) find(ctx context.Context) (place, error) {
	raw, err := os.ReadFile(filepath.Join(m.c.cfg.DataDir, placeName))
	var p place
	if err == nil && json.Unmarshal(raw, &p) == nil && p.Replica != 0 {
		return p, nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return place{}, eris.Wrap(err, "read the place")
	}
	if err == nil {
		m.c.cfg.Logger.Warn("place on disk can't be read; asking for another", "bytes", len(raw))
	} else if m.c.cfg.FirstStart && slices.Contains(m.c.cfg.Seeds, m.c.cfg.PeerAddress) {
		return m.firstPlace()
	}
	return m.ask(ctx)
}

// firstPlace makes the coordinators of the first start the first quorum: all
// of them were given the same addresses.
func (m *member) firstPlace() (place, error) {
	seeds := slices.Clone(m.c.cfg.Seeds)
	sort.Strings(seeds)
	h := fnv.New64a()
	var p place
	for i, s := range seeds {
		_, _ = h.Write([]byte(s + "\n"))
		p.First = append(p.First, replica.Peer{ID: raft.ID(i + 1), Address: s})
		if s == m.c.cfg.PeerAddress {
			p.Replica = raft.ID(i + 1)
		}
	}
	p.Cluster = strconv.FormatUint(h.Sum64(), 16)
	return p, m.write(p)
}

// ask gets a place from the leader.
func (m *member) ask(ctx context.Context) (place, error) {
	calling, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var result control.FleetJoinResult
	req := control.FleetJoinRequest{Address: m.c.cfg.PeerAddress}
	if err := m.c.caller.CallOnce(calling, control.MethodFleetJoin, req, &result); err != nil {
		return place{}, eris.Wrapf(err, "ask %s for a place", m.c.caller.Address())
	}
	p := place{Replica: raft.ID(result.Replica), Cluster: result.Cluster}
	m.c.cfg.Logger.Info("place received", "replica", p.Replica, "cluster", p.Cluster, "peers", result.Peers)
	return p, m.write(p)
}

// write puts the place on disk.
func (m *member) write(p place) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return eris.Wrap(err, "encode the place")
	}
	return eris.Wrap(writeWhole(m.c.cfg.DataDir, placeName, raw), "write the place")
}

// clear gives a place up; the next one has a folder of its own.
func (m *member) clear() error {
	entries, err := os.ReadDir(m.c.cfg.DataDir)
	if err != nil {
		return eris.Wrap(err, "list the data folder")
	}
	// The place goes first: a folder without a place is never opened.
	if err := os.Remove(filepath.Join(m.c.cfg.DataDir, placeName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove the place")
	}
	if err := (disk.OS{}).SyncDir(m.c.cfg.DataDir); err != nil {
		return eris.Wrap(err, "sync the data folder")
	}
	m.c.cfg.FirstStart = false
	for _, e := range entries {
		if e.IsDir() {
			if err := os.RemoveAll(filepath.Join(m.c.cfg.DataDir, e.Name())); err != nil {
				return eris.Wrap(err, "remove a replica's folder")
			}
		}
	}
	return nil
}
