package introspect

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

const (
	// readHeaderTimeout limits the time to receive a request header.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout limits the wait for running requests during shutdown.
	shutdownTimeout = time.Second
)

// ReadinessProbe reports whether the process is ready, and if not, the reason.
type ReadinessProbe func() (ready bool, reason string)

// ServeHTTP serves /metrics, /healthz and /readyz on an address until ctx ends. With an empty
// address, it serves nothing.
func ServeHTTP(ctx context.Context, address string, g prometheus.Gatherer, ready ReadinessProbe) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Logger.SetOutput(io.Discard)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(g, promhttp.HandlerOpts{})))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		ok, reason := ready()
		if !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	// Discard the server's own log: aborted connections of scrapers are not worth
	// reporting, and its free text must not reach the standard error.
	silent := log.New(io.Discard, "", 0)
	server := &http.Server{Addr: address, Handler: e, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: silent}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve metrics and health endpoints")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return server.Shutdown(closing)
}
