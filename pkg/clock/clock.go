package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a time since some fixed start of this host, never stepped back.
type Moment time.Duration

// Add returns the moment d later.
func (m Moment) Add(d time.Duration) Moment { return m + Moment(d) }

// Sub returns the time from o to m.
func (m Moment) Sub(o Moment) time.Duration { return time.Duration(m - o) }

// Clock tells the present moment.
type Clock interface {
	Now() Moment
}

// Boot is the clock of the running host, suspended time included.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease
		// can be measured.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Moment(ts.Nano())
}

// Monotonic is the clock of the Go runtime. It follows the virtual time of tests and
// stands still while a host is suspended.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock that starts at zero.
func NewMonotonic() *Monotonic { return &Monotonic{start: time.Now()} }

// Now implements Clock.
func (g *Monotonic) Now() Moment { return Moment(time.Since(g.start)) }
