package engine

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// faults are the standing orders for something to go wrong.
type faults struct {
	mu          sync.Mutex
	pausedUntil time.Time
	slow        float64
	poison      string
	answers     []Fault // strike one answer each, in order
}

func (f *faults) set(o Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch o.Kind {
	case FaultPause:
		f.pausedUntil = time.Now().Add(time.Duration(o.Millis) * time.Millisecond)
	case FaultSlow:
		f.slow = o.Factor
	case FaultCrashOnPrompt:
		f.poison = o.Pattern
	case FaultClear:
		f.pausedUntil, f.slow, f.poison, f.answers = time.Time{}, 0, "", nil
	case FaultCrash, FaultTruncate, FaultReset, FaultSilent, FaultDuplicate, FaultReorder, FaultStale:
		for range max(1, o.Count) {
			f.answers = append(f.answers, o)
		}
	}
}

// forRequest takes the fault that strikes an answer.
func (f *faults) forRequest(prompt string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poison != "" && strings.Contains(prompt, f.poison) {
		return Fault{Kind: FaultCrashOnPrompt}
	}
	if len(f.answers) == 0 {
		return Fault{}
	}
	next := f.answers[0]
	f.answers = f.answers[1:]
	return next
}

func (f *faults) slowness() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.slow)
}

// waitPause returns when the member is not paused.
func (f *faults) waitPause(ctx context.Context) {
	f.mu.Lock()
	d := time.Until(f.pausedUntil)
	f.mu.Unlock()
	if d > 0 {
		sleep(ctx, d)
	}
}

func (e *Engine) pauseWhenOrdered(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() != FaultPath {
			e.faults.waitPause(c.Request().Context())
		}
		return next(c)
	}
}

// SetFault lets something go wrong.
func (e *Engine) SetFault(o Fault) {
	e.faults.set(o)
	e.log.Info("fault ordered", "kind", o.Kind)
}

func (e *Engine) handleFault(c echo.Context) error {
	var o Fault
	if err := c.Bind(&o); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	e.SetFault(o)
	return c.NoContent(http.StatusNoContent)
}

// faultAt tells whether the fault strikes once that many tokens are out.
func (w *eventWriter) faultAt(tokens int) bool {
	switch w.fault.Kind {
	case FaultCrash, FaultReset, FaultSilent:
		return tokens >= w.fault.AfterTokens
	default:
		return false
	}
}

// actOut lets the fault happen.
func (w *eventWriter) actOut() error {
	switch w.fault.Kind {
	case FaultCrash:
		w.die()
	case FaultSilent:
		<-w.context.Request().Context().Done()
	}
	return w.abort()
}

// abort ends the connection: a truncated one closes, others are reset.
func (w *eventWriter) abort() error {
	if w.fault.Kind == FaultTruncate {
		return closeConn(w.context)
	}
	return resetConn(w.context)
}

func closeConn(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn.Close()
}

func resetConn(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}
