package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// serviceCommand runs one host of a simulated plain service.
type serviceCommand struct {
	Listen        string   `help:"Address to listen on, host:port." default:"127.0.0.1:0"`
	Name          string   `help:"Name of the host." required:""`
	Service       string   `help:"Name of the service object." required:""`
	FailureDomain string   `help:"Failure domain of the host." required:""`
	Gates         []string `help:"Addresses of gates to announce to, host:port." sep:","`
	tlsFlags
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *serviceCommand) Run() error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	dial, err := c.dialGates()
	if err != nil {
		return err
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := service.New(service.Config{
		Host: view.Host{
			Name:          view.HostName(c.Name),
			Incarnation:   view.Incarnation(time.Now().UnixNano()),
			Service:       c.Service,
			FailureDomain: c.FailureDomain,
		},
		Listener: l,
		Gates:    c.Gates,
		Client:   announcementClient(dial),
		Logger:   logger.With("host", c.Name),
	})
	logger.Info("service host is listening", "name", c.Name, "service", c.Service, "address", l.Addr())
	return s.Run(ctx)
}
