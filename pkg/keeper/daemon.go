package keeper

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/introspect"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/settings"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// transferTimeout limits the transfer of the leadership at a clean shutdown.
const transferTimeout = time.Second

// RunDaemon runs a keeper with the given settings until ctx ends. It logs an error before it
// returns it.
func RunDaemon(ctx context.Context, s settings.Keeper, logTo io.Writer) error {
	logger := logging.New(logTo, logging.Options{
		Process: processName(s),
		Host:    s.Host,
		Level:   s.LogLevel,
	})
	err := runDaemon(ctx, s, logger)
	if err != nil {
		logger.Error("keeper failed", "err", err)
		return err
	}
	logger.Info("keeper stopped")
	return nil
}

func processName(s settings.Keeper) string {
	return "keeper/" + strconv.FormatUint(s.ID, 10)
}

func runDaemon(ctx context.Context, s settings.Keeper, logger *log.Logger) error {
	links, err := openLinks(s, logger)
	if err != nil {
		return err
	}
	recorder, err := newRecorder(s)
	if err != nil {
		return err
	}
	defer recorder.Close()
	listener, err := links.Listen(s.RPCListen)
	if err != nil {
		return eris.Wrap(err, "listen for RPC")
	}
	return runWithEndpoint(ctx, s, endpoint{links, listener}, recorder, logger)
}

// endpoint holds a keeper's connections: outgoing links and the RPC listener.
type endpoint struct {
	links    *access.Transport
	listener net.Listener
}

// runWithEndpoint runs a keeper whose RPC listener is already open.
func runWithEndpoint(ctx context.Context, s settings.Keeper, e endpoint, recorder *timeline.Recorder, logger *log.Logger) error {
	defer func() { _ = e.listener.Close() }()
	dial := e.links.Dial(access.Keeper)
	transport := NewTransport(dial)
	defer transport.Close()
	store := state.NewStore()
	node, err := openReplica(s, store, transport, logger)
	if err != nil {
		return err
	}
	defer node.Stop()
	k := New(Config{
		Log:       node,
		Store:     store,
		Clock:     clock.Boot{},
		WallClock: time.Now,
		Dial:      dial,
		Timing:    DefaultTiming(),
		Events:    TimelineEvents{Recorder: recorder},
		HLC:       recorder,
		Logger:    logger,
	})
	server := rpc.NewServer(rpc.WithAuthorizer(e.links), rpc.WithLogger(logger))
	k.Register(server)
	introspect.ServeTimeline(server, processName(s), recorder)
	logger.Info("keeper started", "rpc", e.listener.Addr(), "data", s.DataDir, "protected", e.links.TLSEnabled())
	recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return serve(ctx, components{
		keeper:        k,
		node:          node,
		server:        server,
		listener:      e.listener,
		metricsListen: s.MetricsListen,
	})
}

// openLinks loads the TLS files for links to other processes and checks that the certificate is
// that of a keeper of this cluster.
func openLinks(s settings.Keeper, logger *log.Logger) (*access.Transport, error) {
	links, err := access.NewTransport(s.TLS, func(err error) {
		logger.Error("cannot read TLS files; keeping those loaded last", "err", err)
	})
	if err != nil {
		return nil, err
	}
	return links, links.CheckIdentity(access.Keeper, s.Cluster, "")
}

func newRecorder(s settings.Keeper) (*timeline.Recorder, error) {
	o := timeline.Options{Process: processName(s), FailureDomain: s.FailureDomain}
	if s.TimelineDir != "" {
		o.File = filepath.Join(s.TimelineDir, "timeline.jsonl")
	}
	return timeline.NewRecorder(o)
}

// openReplica opens the data directory and starts the replica.
func openReplica(s settings.Keeper, store *state.Store, t replica.Transport, logger *log.Logger) (*replica.Node, error) {
	cfg := replica.Config{
		ID:        raft.ID(s.ID),
		ClusterID: s.Cluster,
		Address:   s.RPCListen,
		Bootstrap: !s.Join,
		Join:      s.Join,
		Dir:       s.DataDir,
		Transport: t,
		Applier:   store,
		Logger:    logger,
	}
	for _, p := range s.Peers {
		cfg.Members = append(cfg.Members, replica.Peer{ID: raft.ID(p.ID), Address: p.Address})
	}
	return replica.Open(cfg)
}

// components are the parts of a running keeper daemon.
type components struct {
	keeper        *Keeper
	node          *replica.Node
	server        *rpc.Server
	listener      net.Listener
	metricsListen string
}

// serve runs the components until ctx ends or one of them fails.
func serve(ctx context.Context, c components) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error {
		c.keeper.Run(running)
		return nil
	})
	group.Go(func() error {
		probe := &readiness{status: c.keeper.replicaStatus}
		return introspect.ServeHTTP(running, c.metricsListen, newMetrics(c.keeper), probe.ready)
	})
	group.Go(func() error {
		err := c.server.Serve(c.listener)
		if running.Err() != nil {
			return nil
		}
		return err
	})
	group.Go(func() error {
		defer stop()
		defer func() { _ = c.listener.Close() }()
		defer c.server.Close()
		select {
		case <-c.node.Done():
			return eris.Wrap(c.node.Err(), "replica stopped")
		case <-running.Done():
			c.keeper.transferLeadership()
			return nil
		}
	})
	return group.Wait()
}

// transferLeadership hands the leadership to another voter before a clean shutdown, so that the
// cluster need not wait for an election time-out.
func (k *Keeper) transferLeadership() {
	st := k.replicaStatus()
	if st.ID == 0 || st.Leader != st.ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	for _, id := range st.Membership.Voters() {
		if id != st.ID && k.log.TransferLeadership(ctx, id) == nil {
			return
		}
	}
}
