package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a monotonic time, given as the duration since a fixed starting point on this host.
type Moment time.Duration

// Add returns the moment d later.
func (m Moment) Add(d time.Duration) Moment { return m + Moment(d) }

// Sub returns the time from o to m.
func (m Moment) Sub(o Moment) time.Duration { return time.Duration(m - o) }

// Clock returns the current time.
type Clock interface {
	Now() Moment
}

// Boot is the host's time since boot, including time in suspend.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since version 2.6.39. Leases cannot be measured without it.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Moment(ts.Nano())
}

// Monotonic is the monotonic clock of the Go runtime. It follows virtual time in tests, and stops
// while the host is suspended.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock that starts at zero.
func NewMonotonic() *Monotonic { return &Monotonic{start: time.Now()} }

// Now implements Clock.
func (g *Monotonic) Now() Moment { return Moment(time.Since(g.start)) }
