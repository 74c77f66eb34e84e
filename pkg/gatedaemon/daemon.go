package gatedaemon

import (
	"context"
	"io"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/gate"
	"github.com/sesamemux/sesamemux/pkg/introspect"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/metrics"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/proxy"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
	"github.com/sesamemux/sesamemux/pkg/settings"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Run runs a gate from its settings until ctx ends. An error was logged before
// it is returned.
func Run(ctx context.Context, s settings.Gate, logTo io.Writer) error {
	logger := logging.New(logTo, logging.Options{Process: "gate/" + s.Name, Host: s.Host, Level: s.LogLevel})
	err := run(ctx, s, logger)
	if err != nil {
		logger.Error("gate ended", "err", err)
		return err
	}
	logger.Info("gate stopped")
	return nil
}

func run(ctx context.Context, s settings.Gate, logger *log.Logger) error {
	links, err := openLinks(s, logger)
	if err != nil {
		return err
	}
	listeners, err := gate.Listen(gate.Addresses{
		Callers:   s.HTTPListen,
		Peers:     s.PeerListen,
		Upstreams: s.UpstreamListen,
		RPC:       s.RPCListen,
	}, s.MaxConnections, links)
	if err != nil {
		return err
	}
	return runOn(ctx, s, links, listeners, logger)
}

// runOn runs a gate that is reached by open ports.
func runOn(ctx context.Context, s settings.Gate, links *access.Transport, listeners gate.Listeners, logger *log.Logger) error {
	defer listeners.Close()
	events, err := newRecorder(s)
	if err != nil {
		return err
	}
	defer events.Close()
	d := build(s, links, listeners, events, logger)
	introspect.ServeTimeline(d.gate.RPC(), "gate/"+s.Name, events)
	events.Record(timeline.Event{Kind: timeline.ProcessStarted})
	logger.Info("gate started", "callers", s.HTTPListen, "upstreams", s.UpstreamListen, "protected", links.TLSEnabled())
	return d.serve(ctx, s.MetricsListen)
}

// openLinks opens the gate's links to other processes.
func openLinks(s settings.Gate, logger *log.Logger) (*access.Transport, error) {
	links, err := access.NewTransport(s.TLS, func(err error) {
		logger.Error("TLS files can't be read; the last good ones stay", "err", err)
	})
	if err != nil {
		return nil, err
	}
	return links, links.CheckIdentity(access.Gate, s.Cluster, s.Name)
}

func newRecorder(s settings.Gate) (*timeline.Recorder, error) {
	o := timeline.Options{Process: "gate/" + s.Name, FailureDomain: s.FailureDomain}
	if s.DataDir != "" {
		o.File = filepath.Join(s.DataDir, "timeline.jsonl")
	}
	return timeline.NewRecorder(o)
}

// daemon is a gate with its handlers.
type daemon struct {
	gate     *gate.Gate
	targets  *targetDialer
	models   *proxy.Proxy
	services serviceHandlers
	suspects *suspects
	metrics  *prometheus.Registry
}

// build joins the parts of a gate.
func build(s settings.Gate, links *access.Transport, l gate.Listeners, events *timeline.Recorder, logger *log.Logger) *daemon {
	self := view.Gate{
		Name:          view.GateName(s.Name),
		Incarnation:   view.Incarnation(time.Now().UnixNano()),
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.PeerListen,
		RPCAddress:    s.RPCListen,
	}
	dial := links.Dial(access.Keeper)
	local := permit.NewLocal(self.Name)
	g := gate.New(gate.Config{
		Self:      self,
		Caller:    leader.NewCaller(s.Keepers, dial),
		Clock:     clock.Boot{},
		Events:    gate.NewTimelineEvents(events),
		Timeline:  events,
		Logger:    logger,
		Source:    &source{permits: local},
		Limits:    limits(s),
		Listeners: l,

		Authorizer: links,
	})
	targets := newTargetDialer(links, g.View)
	// Calls for records and suspects have connections of their own: a sync
	// that the leader holds back does not delay them.
	caller := leader.NewCaller(s.Keepers, dial)
	guard := suspect.NewGuard(self.Name, g.View)
	d := &daemon{
		gate:     g,
		targets:  targets,
		suspects: newSuspects(guard, caller, logger),
		metrics:  metrics.NewRegistry(),
	}
	stamp := func() string { return events.Stamp().String() }
	// Each figure of a gate tells the failure domain that it stands in.
	registerer := prometheus.WrapRegistererWith(prometheus.Labels{"failure_domain": s.FailureDomain}, d.metrics)
	registerer.MustRegister(&metrics.Gate{Lease: g.Lease(), View: g.View})
	tried := newAttempts(registerer, g.View)
	d.models = proxy.New(proxy.Config{
		Gate:          self,
		View:          g.View,
		Lease:         g.Lease(),
		Permits:       local,
		Health:        g.Health(),
		Suspects:      guard,
		OnCrash:       d.suspects.crashed,
		Recorder:      &recorder{timeline: events, attempts: tried},
		TimelineStamp: stamp,
		Log:           logger,
		Metrics:       registerer,
		Dial:          targets.dial,
		Options:       proxy.Options{MaxRequestTime: s.MaxRequestTime, MaxBodyBytes: s.MaxBodyBytes},
	})
	services := serviceproxy.New(serviceproxy.Config{
		Gate:          self.Name,
		Incarnation:   self.Incarnation,
		View:          g.View,
		Lease:         g.Lease(),
		Records:       &records{caller: caller},
		Permits:       local,
		Timeline:      &serviceRecorder{timeline: events, attempts: tried},
		TimelineStamp: stamp,
		Transport:     plaincall.New(targets.dialService),
		Logger:        logger,
		Registerer:    registerer,
		MaxBodyBytes:  s.MaxBodyBytes,
	})
	d.services = serviceHandlers{proxy: services, callers: serviceproxy.NewHandoverHandler(services, local.Capacity)}
	g.SetReportListener(d.models)
	return d
}

func limits(s settings.Gate) gate.Limits {
	return gate.Limits{
		MaxBodyBytes:   s.MaxBodyBytes,
		MaxHeaderBytes: int(s.MaxHeaderBytes),
		HeaderTimeout:  s.HeaderTimeout,
		BodyTimeout:    s.BodyTimeout,
		MaxRequestTime: s.MaxRequestTime,
		ShutdownNotice: s.ShutdownNotice,
	}
}

// serve runs everything until ctx ends.
func (d *daemon) serve(ctx context.Context, metricsAddress string) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	work, running := errgroup.WithContext(running)
	for _, duty := range []func(context.Context){d.models.Run, d.suspects.run} {
		work.Go(func() error {
			duty(running)
			return nil
		})
	}
	work.Go(func() error { return introspect.ServeHTTP(running, metricsAddress, d.metrics, d.gate.Ready) })
	work.Go(func() error {
		defer stop()
		return d.gate.Serve(ctx, modelHandlers{d.models, d.targets}, d.services)
	})
	return work.Wait()
}
