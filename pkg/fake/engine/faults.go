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

// faults holds the injected faults that are in force.
type faults struct {
	mu           sync.Mutex
	pausedUntil  time.Time
	slowFactor   float64
	crashPattern string
	answerFaults []Fault // each affects one answer, in order
}

func (f *faults) set(o Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch o.Kind {
	case FaultPause:
		f.pausedUntil = time.Now().Add(time.Duration(o.Millis) * time.Millisecond)
	case FaultSlow:
		f.slowFactor = o.Factor
	case FaultCrashOnPrompt:
		f.crashPattern = o.Pattern
	case FaultClear:
		f.pausedUntil, f.slowFactor, f.crashPattern, f.answerFaults = time.Time{}, 0, "", nil
	case FaultCrash, FaultTruncate, FaultReset, FaultSilent, FaultDuplicate, FaultReorder, FaultStale:
		for range max(1, o.Count) {
			f.answerFaults = append(f.answerFaults, o)
		}
	}
}

// takeForAnswer returns the fault for the next answer and removes it from the queue.
func (f *faults) takeForAnswer(prompt string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashPattern != "" && strings.Contains(prompt, f.crashPattern) {
		return Fault{Kind: FaultCrashOnPrompt}
	}
	if len(f.answerFaults) == 0 {
		return Fault{}
	}
	next := f.answerFaults[0]
	f.answerFaults = f.answerFaults[1:]
	return next
}

func (f *faults) stepFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.slowFactor)
}

// waitPause waits until the end of a pause, if the member is paused.
func (f *faults) waitPause(ctx context.Context) {
	f.mu.Lock()
	d := time.Until(f.pausedUntil)
	f.mu.Unlock()
	if d > 0 {
		sleep(ctx, d)
	}
}

func (e *Engine) pauseMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() != FaultPath {
			e.faults.waitPause(c.Request().Context())
		}
		return next(c)
	}
}

// SetFault puts a fault in force.
func (e *Engine) SetFault(o Fault) {
	e.faults.set(o)
	e.log.Info("fault injected", "kind", o.Kind)
}

func (e *Engine) handleFault(c echo.Context) error {
	var o Fault
	if err := c.Bind(&o); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	e.SetFault(o)
	return c.NoContent(http.StatusNoContent)
}

// faultDue reports whether the fault must be triggered after a number of sent tokens.
func (w *eventWriter) faultDue(tokens int) bool {
	switch w.fault.Kind {
	case FaultCrash, FaultReset, FaultSilent:
		return tokens >= w.fault.AfterTokens
	default:
		return false
	}
}

// triggerFault carries out the fault and ends the answer.
func (w *eventWriter) triggerFault() error {
	switch w.fault.Kind {
	case FaultCrash:
		w.crash()
	case FaultSilent:
		<-w.context.Request().Context().Done()
	}
	return w.abort()
}

// abort ends the connection: FaultTruncate closes it, all other faults reset it.
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
