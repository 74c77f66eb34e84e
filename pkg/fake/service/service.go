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

// stopTime bounds a graceful stop.
const stopTime = 10 * time.Second

// Service is one host of a plain service.
type Service struct {
	config  Config
	record  *Record
	faults  *faults
	log     *log.Logger
	running atomic.Int64
	done    atomic.Uint64
	leaving atomic.Bool
}

// New returns a stand-in that serves once Run is called.
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

// Record returns what it executed.
func (s *Service) Record() *Record { return s.record }

// SetFault puts a fault in force in place of the one before.
func (s *Service) SetFault(f Fault) { s.faults.order(f) }

// Run serves until the context ends; then it announces that it leaves, lets
// running calls finish, and returns.
func (s *Service) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.config.Listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announceUntil(ctx)
	}()
	select {
	case err := <-failed:
		return eris.Wrap(ErrServe, err.Error())
	case <-ctx.Done():
	}
	<-announced
	s.faults.order(Fault{})
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	s.leaving.Store(true)
	s.announce(last)
	err := server.Shutdown(last)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
