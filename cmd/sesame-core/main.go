// Command sesame-core is a coordinator: one replica of the deployment's state,
// and the calls of operators and upstreams.
package main

import (
	"context"
	"net"
	"net/http"
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
	// headerTimeout bounds a slow sender's header.
	headerTimeout = 5 * time.Second
	// closeTimeout bounds the wait for running calls at a stop.
	closeTimeout = time.Second
)

func main() {
	platform.Main("sesame-core", "Holds one replica of the deployment's state and serves operators and upstreams.", run)
}

func run(ctx context.Context, s platform.Settings, logger *log.Logger) error {
	peer := s.PeerAddress(s.OperatorListen)
	var seeds []string
	for _, a := range s.Seeds {
		seeds = append(seeds, s.PeerAddress(a))
	}
	c := coordinator.New(coordinator.Config{
		Name:            s.Host,
		Zone:            s.FailureDomain,
		PeerAddress:     peer,
		OperatorAddress: s.OperatorListen,
		Seeds:           seeds,
		FirstStart:      s.FirstStart,
		DataDir:         s.DataDir,
		Voters:          2*max(s.ToleratedHostLosses, 1) + 1,
		LoadWindow:      s.LoadWindow,
		Decode:          platform.DecodeAndCheckManifest,
		Engines:         platform.NewEngineClient(s.FencingEnforced),
		Dial:            upstream.DialTCP,
		Clock:           clock.Boot{},
		Logger:          logger,
	})
	peers, err := net.Listen("tcp", peer)
	if err != nil {
		return eris.Wrap(err, "listen for our own processes")
	}
	operators, err := net.Listen("tcp", s.OperatorListen)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	server := rpc.NewServer(rpc.WithLogger(logger))
	c.Register(server)
	web := &http.Server{Handler: platform.NewOperatorHandler(c, logger), ReadHeaderTimeout: headerTimeout, ErrorLog: logger.StandardLog()}

	// Others are answered until the coordinator has handed its leadership over.
	serving, stopped := context.WithCancel(context.WithoutCancel(ctx))
	defer stopped()
	work, running := errgroup.WithContext(serving)
	coordinating, end := context.WithCancel(ctx)
	defer end()
	context.AfterFunc(running, end) // a server that failed ends the process
	work.Go(func() error {
		defer stopped()
		c.Run(coordinating)
		return nil
	})
	work.Go(func() error { return ignoreClosed(server.Serve(peers), running) })
	work.Go(func() error { return ignoreClosed(web.Serve(operators), running) })
	work.Go(func() error {
		return introspect.ServeHTTP(running, s.CoreMetricsListen(), c.Metrics().Registry, func() (bool, string) { return true, "" })
	})
	work.Go(func() error {
		<-running.Done()
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		err := web.Shutdown(closing)
		server.Close()
		_ = peers.Close()
		return err
	})
	return work.Wait()
}

// ignoreClosed drops the error of a server that was told to stop.
func ignoreClosed(err error, ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
