package gatedaemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/proxy"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

const (
	// crashQueue limits the crash reports that wait to be sent to the keepers.
	crashQueue = 256
	// reportTimeout limits one call to the keepers.
	reportTimeout = 2 * time.Second
	// reportRetryDelay is the pause before a failed report is retried.
	reportRetryDelay = 200 * time.Millisecond
	// reportAttempts limits how often one report is tried.
	reportAttempts = 20
	// ranWellInterval is the time between two checks for suspects that ran without
	// a crash.
	ranWellInterval = 200 * time.Millisecond
)

// suspectReporter reports to the keepers which requests ran on crashed upstreams, and which
// suspects ran without a crash.
type suspectReporter struct {
	guard   *suspect.Guard
	caller  *leader.Caller
	logger  *log.Logger
	crashes chan suspect.CrashReported
}

func newSuspectReporter(g *suspect.Guard, c *leader.Caller, l *log.Logger) *suspectReporter {
	return &suspectReporter{guard: g, caller: c, logger: l, crashes: make(chan suspect.CrashReported, crashQueue)}
}

// reportCrash queues a crash detected by the proxy for reporting.
func (s *suspectReporter) reportCrash(c proxy.CrashReport) {
	r, ok := s.guard.CrashReport(time.Now(), c.Host, c.Incarnation)
	if !ok {
		return
	}
	select {
	case s.crashes <- r:
	default:
		s.logger.Error("crash report dropped: queue is full", "host", c.Host)
	}
}

// run sends reports until ctx ends.
func (s *suspectReporter) run(ctx context.Context) {
	tick := time.NewTicker(ranWellInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.crashes:
			s.report(ctx, control.MethodCrashReport, c)
		case <-tick.C:
			for _, f := range s.guard.TakeCleared() {
				s.report(ctx, control.MethodRanWell, suspect.SuspectCleared{Fingerprint: f})
			}
		}
	}
}

// report sends a report to the keepers, with retries. Reports are idempotent.
func (s *suspectReporter) report(ctx context.Context, m control.Method, params any) {
	for range reportAttempts {
		calling, cancel := context.WithTimeout(ctx, reportTimeout)
		err := s.caller.Call(calling, m, params, nil)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportRetryDelay):
		}
	}
	s.logger.Error("failed to report to the keepers; giving up", "method", m)
}
