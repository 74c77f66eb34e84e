package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
)

const (
	// timerDelayLogged is the delay of a timer from which it is logged.
	timerDelayLogged = 200 * time.Millisecond
	// timerDelayLogInterval is the minimum time between these log lines.
	timerDelayLogInterval = time.Second
)

// watchProcessor measures how late timers run. A delay means that this process is short of processor,
// or stood still; calls that fail without one point to the network or to the other side.
func (c *Coordinator) watchProcessor(ctx context.Context) {
	var loggedAt time.Duration
	for ctx.Err() == nil {
		began := c.now()
		clock.Sleep(ctx, tickInterval)
		now := c.now()
		delay := now - began - tickInterval
		c.metrics.TimerDelay.Observe(max(delay, 0).Seconds())
		if delay < timerDelayLogged || loggedAt > 0 && now-loggedAt < timerDelayLogInterval {
			continue
		}
		loggedAt = now
		c.mu.Lock()
		leads := c.leadership != nil
		c.mu.Unlock()
		c.cfg.Logger.Warn("timer ran late; the process is short of processor or stood still", "delay_ms", delay.Milliseconds(), "leads", leads)
	}
}
