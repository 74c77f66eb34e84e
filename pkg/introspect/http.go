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
	// headerTimeout bounds a slow sender's header.
	headerTimeout = 5 * time.Second
	// closeTimeout bounds the wait for running answers at the end.
	closeTimeout = time.Second
)

// ReadinessProbe tells whether the process is ready, and if not, why.
type ReadinessProbe func() (ready bool, reason string)

// ServeHTTP serves /metrics, /healthz and /readyz at an address until ctx ends. An
// empty address serves nothing.
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
	// No free text reaches the standard error: scrapers that hang up are no event.
	silent := log.New(io.Discard, "", 0)
	server := &http.Server{Addr: address, Handler: e, ReadHeaderTimeout: headerTimeout, ErrorLog: silent}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve metrics")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return server.Shutdown(closing)
}
