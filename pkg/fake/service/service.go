package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// shutdownTimeout limits the duration of a graceful shutdown.
const shutdownTimeout = 10 * time.Second

// Service is one host of a simulated plain service.
type Service struct {
	config  Config
	record  *Record
	faults  *faults
	log     *log.Logger
	running atomic.Int64
	done    atomic.Uint64
	leaving atomic.Bool
}

// New returns a host that starts serving when Run is called.
func New(c Config) *Service {
	s := &Service{config: c, record: c.Record, faults: newFaults(), log: c.Logger}
	if s.record == nil {
		s.record = NewRecord()
	}
	if c.RejectQueriedAttempts {
		s.record.RejectQueriedAttempts()
	}
	if s.log == nil {
		s.log = log.New(io.Discard)
	}
	if s.config.Client == nil {
		s.config.Client = &http.Client{}
	}
	s.config.Host.Kind = view.KindService
	if s.config.Host.Address == "" {
		s.config.Host.Address = c.Listener.Addr().String()
	}
	return s
}

// Record returns the record of executions.
func (s *Service) Record() *Record { return s.record }

// SetFault replaces the fault in force.
func (s *Service) SetFault(f Fault) { s.faults.set(f) }

// Run serves until the context ends. It then announces that the host is leaving,
// waits for running calls and returns.
func (s *Service) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.config.Listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announceLoop(ctx)
	}()
	select {
	case err := <-failed:
		return eris.Wrap(ErrServe, err.Error())
	case <-ctx.Done():
	}
	<-announced
	s.faults.set(Fault{})
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	s.leaving.Store(true)
	s.announce(shutdownCtx)
	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
