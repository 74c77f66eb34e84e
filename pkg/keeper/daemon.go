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

// transferTimeout bounds handing leadership over at a clean stop.
const transferTimeout = time.Second

// RunDaemon runs a keeper from its settings until ctx ends. An error was
// logged before it is returned.
func RunDaemon(ctx context.Context, s settings.Keeper, logTo io.Writer) error {
	logger := logging.New(logTo, logging.Options{
		Process: processName(s),
		Host:    s.Host,
		Level:   s.LogLevel,
	})
	err := runDaemon(ctx, s, logger)
	if err != nil {
		logger.Error("keeper ended", "err", err)
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
	return runOn(ctx, s, reach{links, listener}, recorder, logger)
}

// reach is how a keeper reaches others and is reached.
type reach struct {
	links    *access.Transport
	listener net.Listener
}

// runOn runs a keeper with an open port.
func runOn(ctx context.Context, s settings.Keeper, r reach, recorder *timeline.Recorder, logger *log.Logger) error {
	defer func() { _ = r.listener.Close() }()
	dial := r.links.Dial(access.Keeper)
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
	server := rpc.NewServer(rpc.WithAuthorizer(r.links), rpc.WithLogger(logger))
	k.Register(server)
	introspect.ServeTimeline(server, processName(s), recorder)
	logger.Info("keeper started", "rpc", r.listener.Addr(), "data", s.DataDir, "protected", r.links.TLSEnabled())
	recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return serve(ctx, duties{
		keeper:        k,
		node:          node,
		server:        server,
		listener:      r.listener,
		metricsListen: s.MetricsListen,
	})
}

// openLinks opens the keeper's links to other processes.
func openLinks(s settings.Keeper, logger *log.Logger) (*access.Transport, error) {
	links, err := access.NewTransport(s.TLS, func(err error) {
		logger.Error("TLS files can't be read; the last good ones stay", "err", err)
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

// openReplica opens the data folder and starts the replica.
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

// duties are what a keeper's daemon runs.
type duties struct {
	keeper        *Keeper
	node          *replica.Node
	server        *rpc.Server
	listener      net.Listener
	metricsListen string
}

// serve runs the duties until ctx ends or one of them fails.
func serve(ctx context.Context, d duties) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	work, running := errgroup.WithContext(running)
	work.Go(func() error {
		d.keeper.Run(running)
		return nil
	})
	work.Go(func() error {
		probe := &readiness{status: d.keeper.replicaStatus}
		return introspect.ServeHTTP(running, d.metricsListen, newMetrics(d.keeper), probe.ready)
	})
	work.Go(func() error {
		err := d.server.Serve(d.listener)
		if running.Err() != nil {
			return nil
		}
		return err
	})
	work.Go(func() error {
		defer stop()
		defer func() { _ = d.listener.Close() }()
		defer d.server.Close()
		select {
		case <-d.node.Done():
			return eris.Wrap(d.node.Err(), "replica ended")
		case <-running.Done():
			d.keeper.handOver()
			return nil
		}
	})
	return work.Wait()
}

// handOver gives leadership to another replica before a clean stop.
func (k *Keeper) handOver() {
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
