// Command sesame-entry runs an entry host: it accepts client requests and forwards them to
// upstreams.
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
	// headerTimeout bounds the time to receive a request header from a slow sender.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than clients keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// maxRelayedHeaderBytes leaves room for what an entry host adds to a client's header.
	maxRelayedHeaderBytes = 2 * maxHeaderBytes
	// clientMigrationDelay is how long clients still arrive after a stop signal: the load balancer
	// checks each second and acts on the second failure.
	clientMigrationDelay = 3 * time.Second
	// maxShutdownMargin bounds the part of the grace period reserved for the exit of the process. A
	// short grace period reserves an eighth.
	maxShutdownMargin = time.Second
	// maxAnswerMargin bounds the time before that in which requests without an answer get one. A short
	// grace period has a fortieth.
	maxAnswerMargin = 200 * time.Millisecond
	// bodyMemoryShare is the part of the process's memory that bodies of requests may fill.
	bodyMemoryShare = 0.25
)

func main() {
	platform.Main("sesame-entry", "Takes clients' requests and passes them to upstreams.", run)
}

func run(ctx context.Context, settings platform.Settings, logger *log.Logger) error {
	var peers []string
	for _, a := range settings.Seeds {
		peers = append(peers, settings.PeerAddress(a))
	}
	g := entry.New(entry.Config{
		Name:          settings.Host,
		Zone:          settings.FailureDomain,
		Coordinators:  peers,
		PlacerAddress: settings.PlacerListen(),
		RelayAddress:  settings.RelayListen(),
		Headers:       platform.Headers(),
		Decode:        platform.DecodeAndCheckManifest,
		RetryRatio:    settings.RetryRatio,
		RetryBurst:    settings.RetryBurst,
		ColdFactor:    settings.ColdFactor,
		ColdSlack:     settings.ColdSlack,
		BodyMemory:    int64(bodyMemoryShare * float64(settings.MemoryMB) * (1 << 20)),
		Dial:          upstream.DialTCP,
		DialBackend:   upstream.DialTCP,
		Clock:         clock.Boot{},
		Logger:        logger,
	})
	clients, err := net.Listen("tcp", settings.ClientListen)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", settings.ReadyListen)
	if err != nil {
		return eris.Wrap(err, "listen for health checks")
	}
	others, err := net.Listen("tcp", settings.PlacerListen())
	if err != nil {
		return eris.Wrap(err, "listen for other entry hosts")
	}
	relayed, err := net.Listen("tcp", settings.RelayListen())
	if err != nil {
		return eris.Wrap(err, "listen for relayed requests")
	}
	server := rpc.NewServer(rpc.WithLogger(logger), rpc.WithMaxMessage(entry.MaxMessage))
	g.Register(server)
	web := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logger.StandardLog(),
	}
	relays := &http.Server{
		Handler: g.RelayHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRelayedHeaderBytes,
		ErrorLog: logger.StandardLog(),
	}
	health := &http.Server{Handler: readinessHandler(g), ReadHeaderTimeout: headerTimeout, ErrorLog: logger.StandardLog()}

	// Background work continues after a stop signal until the last request is answered.
	work, stopped := context.WithCancel(context.WithoutCancel(ctx))
	group, running := errgroup.WithContext(work)
	group.Go(func() error { g.Run(running); return nil })
	group.Go(func() error { return ignoreClosed(web.Serve(clients)) })
	group.Go(func() error { return ignoreClosed(relays.Serve(relayed)) })
	group.Go(func() error { return ignoreClosed(health.Serve(ready)) })
	group.Go(func() error { return ignoreClosed(server.Serve(others)) })
	context.AfterFunc(running, func() {
		server.Close()
		_ = others.Close()
	})
	group.Go(func() error {
		return introspect.ServeHTTP(running, settings.EntryMetricsListen(), g.Metrics().Registry, g.Ready)
	})
	group.Go(func() error {
		defer stopped()
		select {
		case <-running.Done():
			return nil
		case <-ctx.Done():
		}
		logger.Info("stopping", "cause", "signal", "grace_ms", settings.GracePeriod.Milliseconds())
		g.BeginShutdown()
		limit := settings.GracePeriod - min(maxShutdownMargin, settings.GracePeriod/8)
		ending, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		requestsEnd := time.Now().Add(limit - min(maxAnswerMargin, settings.GracePeriod/40))
		answering := time.AfterFunc(time.Until(requestsEnd), g.EndRequests)
		defer answering.Stop()
		time.Sleep(min(clientMigrationDelay, settings.GracePeriod/2))
		g.RefuseLateRequests(time.Until(requestsEnd))
		relaying := errgroup.Group{}
		relaying.Go(func() error { return relays.Shutdown(ending) })
		err := web.Shutdown(ending)
		logger.Info("HTTP server for clients shut down", "cause", err)
		err = relaying.Wait()
		logger.Info("HTTP server for relayed requests shut down", "cause", err)
		_ = health.Close()
		return nil
	})
	return group.Wait()
}

// readinessHandler answers the load balancer's health check.
func readinessHandler(g *entry.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := g.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// ignoreClosed drops the error of a server that was closed.
func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) || eris.Is(err, rpc.ErrClosed) {
		return nil
	}
	return err
}
