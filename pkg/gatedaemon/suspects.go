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
	// crashQueue bounds the crash reports that wait for the keepers.
	crashQueue = 256
	// suspectTimeout bounds one report.
	suspectTimeout = 2 * time.Second
	// suspectRetry is the pause before a report is tried again.
	suspectRetry = 200 * time.Millisecond
	// suspectTries bounds how often one report is tried.
	suspectTries = 20
	// acquitInterval is the time between two looks for suspects that ended
	// well.
	acquitInterval = 200 * time.Millisecond
)

// suspects tells the keepers what ran on crashed upstreams and which suspects
// ran well.
type suspects struct {
	guard   *suspect.Guard
	caller  *leader.Caller
	logger  *log.Logger
	crashes chan suspect.CrashReported
}

func newSuspects(g *suspect.Guard, c *leader.Caller, l *log.Logger) *suspects {
	return &suspects{guard: g, caller: c, logger: l, crashes: make(chan suspect.CrashReported, crashQueue)}
}

// crashed takes a crash that the proxy saw.
func (s *suspects) crashed(c proxy.CrashReport) {
	r, ok := s.guard.CrashReport(time.Now(), c.Host, c.Incarnation)
	if !ok {
		return
	}
	select {
	case s.crashes <- r:
	default:
		s.logger.Error("crash report dropped, too many wait", "host", c.Host)
	}
}

// run reports until ctx ends.
func (s *suspects) run(ctx context.Context) {
	tick := time.NewTicker(acquitInterval)
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

// report tries until the keepers took a report; repeating one changes nothing.
func (s *suspects) report(ctx context.Context, m control.Method, params any) {
	for range suspectTries {
		calling, cancel := context.WithTimeout(ctx, suspectTimeout)
		err := s.caller.Call(calling, m, params, nil)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(suspectRetry):
		}
	}
	s.logger.Error("keepers did not take a report on suspects", "method", m)
}
