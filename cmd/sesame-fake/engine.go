package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// finishTime is how long running answers may take at a clean stop.
const finishTime = 30 * time.Second

// crashStatus is the exit status of an ordered crash.
const crashStatus = 3

// engineCommand runs one engine member.
type engineCommand struct {
	Listen        string        `help:"Address to listen on, host:port." default:"127.0.0.1:0"`
	Name          string        `help:"Name of the host." required:""`
	FailureDomain string        `help:"Failure domain of the host." required:""`
	FabricDomain  string        `help:"Fabric domain of the host." required:""`
	Gates         []string      `help:"Addresses of gates to announce to, host:port." sep:","`
	IgnoreFence   bool          `help:"Carry out orders with an old fencing number."`
	LoadRate      int64         `help:"Bytes a second from the weights store; 0: at once." default:"0"`
	MaxBatch      int           `help:"Requests in the batch." default:"32"`
	StepTime      time.Duration `help:"Time of one step of the batch." default:"3ms"`
	CacheBlocks   int           `help:"Prefix blocks in the cache." default:"4096"`
	ColdTime      time.Duration `help:"Time from the start until warm." default:"5s"`
	ColdBatch     int           `help:"Requests that a cold engine bears." default:"4"`
	linkFlags
	LogLevel string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
}

// Run serves until the process is told to stop.
func (c *engineCommand) Run() error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	dial, err := c.dialGates()
	if err != nil {
		return err
	}
	e := engine.New(c.options(l.Addr().String(), dial))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("engine member listens", "name", c.Name, "address", l.Addr(), "incarnation", e.Incarnation())
	return serveEngine(ctx, e, l)
}

func (c *engineCommand) options(address string, dialGates dialFunc) engine.Options {
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	level, err := log.ParseLevel(c.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	log.SetDefault(logger)
	m := engine.DefaultModelOptions()
	m.MaxBatch, m.StepBase = c.MaxBatch, c.StepTime
	m.CacheBlocks, m.ColdTime, m.ColdBatch = c.CacheBlocks, c.ColdTime, c.ColdBatch
	return engine.Options{
		Name:          view.HostName(c.Name),
		FailureDomain: c.FailureDomain,
		FabricDomain:  c.FabricDomain,
		Address:       address,
		Gates:         c.Gates,
		Dial:          gatesOr(c.Gates, dialGates),
		IgnoreFence:   c.IgnoreFence,
		LoadRate:      c.LoadRate,
		Model:         m,
		Log:           logger.With("host", c.Name),
		Crash:         func() { os.Exit(crashStatus) },
	}
}

// serveEngine announces that it leaves, finishes what runs, and ends.
func serveEngine(ctx context.Context, e *engine.Engine, l net.Listener) error {
	server := &http.Server{Handler: e.Handler()}
	run, end := context.WithCancel(context.Background())
	g, run := errgroup.WithContext(run)
	g.Go(func() error { return e.Run(run) })
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		defer end()
		select {
		case <-ctx.Done():
		case <-run.Done():
			return server.Close()
		}
		finish, cancel := context.WithTimeout(context.Background(), finishTime)
		defer cancel()
		e.AnnounceLeaving(finish)
		return server.Shutdown(finish)
	})
	return g.Wait()
}
