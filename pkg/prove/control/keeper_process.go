package control

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// keeperProcess is a keeper that can be killed and restarted.
type keeperProcess struct {
	bed  *testbed
	id   raft.ID
	host string
	disk *disk.Mem

	node  *replica.Node
	store *state.Store
	stop  func()
}

func newKeeperProcess(b *testbed, id raft.ID) *keeperProcess {
	return &keeperProcess{
		bed:  b,
		id:   id,
		host: keeperHost(id),
		disk: disk.NewMem(b.seed*10 + uint64(id)),
	}
}

func keeperHost(id raft.ID) string { return "k" + strconv.FormatUint(uint64(id), 10) }

func keeperAddress(id raft.ID) string { return keeperHost(id) + ":1" }

// start opens the replica and starts serving.
func (p *keeperProcess) start() error {
	alive := &atomic.Bool{}
	alive.Store(true)
	dial := p.bed.dialer(p.host, alive)
	transport := keeper.NewTransport(dial)
	p.store = state.NewStore()
	node, err := replica.Open(replica.Config{
		ID:            p.id,
		ClusterID:     "proof",
		Address:       keeperAddress(p.id),
		Members:       p.bed.members(),
		Bootstrap:     true,
		Dir:           "data",
		FS:            p.disk,
		Transport:     transport,
		Applier:       p.store,
		SnapshotEvery: snapshotEvery,
		KeepEntries:   snapshotEvery / 4,
		Seed:          p.bed.seed*100 + uint64(p.id),
	})
	if err != nil {
		transport.Close()
		return err
	}
	p.node = node
	ctx, cancel := context.WithCancel(context.Background())
	k := keeper.New(keeper.Config{
		Log:       node,
		Store:     p.store,
		Clock:     clock.NewMonotonic(),
		WallClock: time.Now,
		Dial:      dial,
		Timing:    keeper.DefaultTiming(),
		Events:    noEvents{},
		Logger:    log.New(io.Discard),
		Unsafe:    p.bed.options.keepers,
	})
	server := rpc.NewServer()
	k.Register(server)
	listener := p.bed.net.Listen(p.host, keeperAddress(p.id))
	done := make(chan struct{}, 2)
	go func() {
		_ = server.Serve(listener)
		done <- struct{}{}
	}()
	go func() {
		k.Run(ctx)
		done <- struct{}{}
	}()
	p.stop = func() {
		alive.Store(false)
		p.disk.Crash()
		p.bed.net.Kill(p.host)
		cancel()
		server.Close()
		_ = listener.Close()
		transport.Close()
		node.Stop()
		<-done
		<-done
	}
	return nil
}

// kill stops the process at once. Data that is not synced is lost.
func (p *keeperProcess) kill() {
	if p.stop == nil {
		return
	}
	p.stop()
	p.stop = nil
}

// restart starts a killed process from its disk.
func (p *keeperProcess) restart() error {
	if p.disk.Crashed() {
		p.disk.Restart()
	}
	return p.start()
}

func (p *keeperProcess) up() bool { return p.stop != nil }

// leads reports whether the process considers itself the leader.
func (p *keeperProcess) leads() bool {
	if !p.up() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	st, err := p.node.Status(ctx)
	return err == nil && st.Leader == p.id
}
