// Command sesame-core runs a coordinator: one replica of the deployment's state and the API for
// operators and upstreams.
package main

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/coordinator"
	"github.com/sesamemux/sesamemux/pkg/introspect"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/platform"
)

const (
	// gcPercent lets the heap grow by this share between garbage collections. Coordinators hold a few
	// megabytes of the memory that they may use, and are short of processor.
	gcPercent = 400
	// shutdownTimeout bounds the wait for running requests at a shutdown.
	shutdownTimeout = time.Second
)

func main() {
	platform.Main("sesame-core", "Holds one replica of the deployment's state and serves operators and upstreams.", run)
}

func run(ctx context.Context, settings platform.Settings, logger *log.Logger) error {
	debug.SetGCPercent(gcPercent)
	peer := settings.PeerAddress(settings.OperatorListen)
	var seeds []string
	for _, a := range settings.Seeds {
		seeds = append(seeds, settings.PeerAddress(a))
	}
	c := coordinator.New(coordinator.Config{
		Name:            settings.Host,
		Zone:            settings.FailureDomain,
		PeerAddress:     peer,
		OperatorAddress: settings.OperatorListen,
		Seeds:           seeds,
		FirstStart:      settings.FirstStart,
		DataDir:         settings.DataDir,
		Voters:          2*max(settings.ToleratedHostLosses, 1) + 1,
		LoadWindow:      settings.LoadWindow,
		FencingEnforced: settings.FencingEnforced,
		Decode:          platform.DecodeAndCheckManifest,
		Engines:         platform.NewEngineClient(settings.FencingEnforced),
		Dial:            upstream.DialTCP,
		Clock:           clock.Boot{},
		Logger:          logger,
	})
	peers, err := net.Listen("tcp", peer)
	if err != nil {
		return eris.Wrap(err, "listen for sesamemux processes")
	}
	operators, err := net.Listen("tcp", settings.OperatorListen)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	server := rpc.NewServer(rpc.WithLogger(logger))
	c.Register(server)
	web := platform.NewOperatorServer(c, logger)

	// Keep serving until the coordinator has transferred its leadership.
	serving, stopped := context.WithCancel(context.WithoutCancel(ctx))
	defer stopped()
	work, running := errgroup.WithContext(serving)
	coordinating, end := context.WithCancel(ctx)
	defer end()
	context.AfterFunc(running, end) // a failed server ends the process
	work.Go(func() error {
		defer stopped()
		c.Run(coordinating)
		return nil
	})
	work.Go(func() error { return ignoreClosed(server.Serve(peers), running) })
	work.Go(func() error { return ignoreClosed(web.Serve(operators), running) })
	work.Go(func() error {
		return introspect.ServeHTTP(running, settings.CoreMetricsListen(), c.Metrics().Registry, func() (bool, string) { return true, "" })
	})
	work.Go(func() error {
		<-running.Done()
		closing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		err := web.Shutdown(closing)
		server.Close()
		_ = peers.Close()
		return err
	})
	return work.Wait()
}

// ignoreClosed drops the error of a server that was stopped through ctx.
func ignoreClosed(err error, ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
