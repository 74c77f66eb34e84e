package control

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/state"
)

const replicas = 3

// cluster is three keepers in this process.
type cluster struct {
	addresses []string
	stores    []*state.Store
	bytes     atomic.Int64 // over the keepers' connections to each other
	stops     []func()
}

// startCluster starts the keepers, with their data in a new temporary folder.
func startCluster() (*cluster, error) {
	dir, err := os.MkdirTemp("", "sesame-bench")
	if err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	c := &cluster{stops: []func(){func() { _ = os.RemoveAll(dir) }}}
	var listeners []net.Listener
	var members []replica.Peer
	for id := raft.ID(1); id <= replicas; id++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen")
		}
		listeners = append(listeners, l)
		c.addresses = append(c.addresses, l.Addr().String())
		members = append(members, replica.Peer{ID: id, Address: l.Addr().String()})
	}
	for i, l := range listeners {
		if err := c.startKeeper(filepath.Join(dir, strconv.Itoa(i)), members[i].ID, members, l); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) startKeeper(dir string, id raft.ID, members []replica.Peer, l net.Listener) error {
	store := state.NewStore()
	dial := countingDial(rpc.DialTCP(nil), &c.bytes)
	transport := keeper.NewTransport(dial)
	node, err := replica.Open(replica.Config{
		ID:        id,
		ClusterID: "bench",
		Members:   members,
		Bootstrap: true,
		Dir:       dir,
		Transport: transport,
		Applier:   store,
		Seed:      uint64(id),
	})
	if err != nil {
		return err
	}
	k := keeper.New(keeper.Config{
		Log:       node,
		Store:     store,
		Clock:     clock.Boot{},
		WallClock: time.Now,
		Dial:      dial,
		Timing:    keeper.DefaultTiming(),
		Events:    keeper.TimelineEvents{},
		Logger:    log.New(io.Discard),
	})
	server := rpc.NewServer()
	k.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(l) }()
	go k.Run(ctx)
	c.stores = append(c.stores, store)
	c.stops = append(c.stops, func() {
		cancel()
		server.Close()
		_ = l.Close()
		transport.Close()
		node.Stop()
	})
	return nil
}

// stop stops the keepers and removes their data.
func (c *cluster) stop() {
	for i := len(c.stops) - 1; i >= 0; i-- {
		c.stops[i]()
	}
}

// countingDial returns a dial function whose connections add their bytes in both directions to total.
func countingDial(dial rpc.DialFunc, total *atomic.Int64) rpc.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, total: total}, nil
	}
}

// countingConn adds the bytes that it reads and writes to total.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(int64(n))
	return n, err
}
