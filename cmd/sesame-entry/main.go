// Command sesame-entry is an entry host: it takes clients' requests and passes
// them to upstreams.
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
	"github.com/sesamemux/sesamemux/pkg/entry"
	"github.com/sesamemux/sesamemux/pkg/introspect"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/platform"
)

const (
	// headerTimeout bounds a slow sender's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is above the idle time of any client's connection.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
	// moveOn is the time after a stop in which clients still come: the
	// balancer asks each second and acts on the second miss.
	moveOn = 3 * time.Second
	// endMargin is kept of the grace time for the end of the process.
	endMargin = time.Second
)

func main() {
	platform.Main("sesame-entry", "Takes clients' requests and passes them to upstreams.", run)
}

func run(ctx context.Context, s platform.Settings, logger *log.Logger) error {
	var peers []string
	for _, a := range s.Seeds {
		peers = append(peers, s.PeerAddress(a))
	}
	g := entry.New(entry.Config{
		Name:          s.Host,
		Zone:          s.FailureDomain,
		Coordinators:  peers,
		PlacerAddress: s.PlacerListen(),
		Headers:       platform.Headers(),
		Decode:        platform.DecodeAndCheckManifest,
		RetryRatio:    s.RetryRatio,
		RetryBurst:    s.RetryBurst,
		ColdFactor:    s.ColdFactor,
		ColdSlack:     s.ColdSlack,
		Dial:          upstream.DialTCP,
		DialBackend:   upstream.DialTCP,
		Clock:         clock.Boot{},
		Logger:        logger,
	})
	clients, err := net.Listen("tcp", s.ClientListen)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return eris.Wrap(err, "listen for health checks")
	}
	others, err := net.Listen("tcp", s.PlacerListen())
	if err != nil {
		return eris.Wrap(err, "listen for other entry hosts")
	}
	server := rpc.NewServer(rpc.WithLogger(logger))
	g.Register(server)
	web := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: logger.StandardLog(),
	}
	health := &http.Server{Handler: readiness(g), ReadHeaderTimeout: headerTimeout, ErrorLog: logger.StandardLog()}

	// The duties go on after a stop until the last client has its answer.
	work, stopped := context.WithCancel(context.WithoutCancel(ctx))
	group, running := errgroup.WithContext(work)
	group.Go(func() error { g.Run(running); return nil })
	group.Go(func() error { return ignoreClosed(web.Serve(clients)) })
	group.Go(func() error { return ignoreClosed(health.Serve(ready)) })
	group.Go(func() error { return ignoreClosed(server.Serve(others)) })
	context.AfterFunc(running, func() {
		server.Close()
		_ = others.Close()
	})
	group.Go(func() error {
		return introspect.ServeHTTP(running, s.EntryMetricsListen(), g.Metrics().Registry, g.Ready)
	})
	group.Go(func() error {
		defer stopped()
		select {
		case <-running.Done():
			return nil
		case <-ctx.Done():
		}
		logger.Info("stopping", "cause", "signal", "grace_ms", s.GracePeriod.Milliseconds())
		g.BeginShutdown()
		ending, cancel := context.WithTimeout(context.Background(), s.GracePeriod-endMargin)
		defer cancel()
		time.Sleep(min(moveOn, s.GracePeriod/2))
		err := web.Shutdown(ending)
		logger.Info("clients served", "cause", err)
		_ = health.Close()
		return nil
	})
	return group.Wait()
}

// readiness answers the balancer's health check.
func readiness(g *entry.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := g.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) || eris.Is(err, rpc.ErrClosed) {
		return nil
	}
	return err
}
