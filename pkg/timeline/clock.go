package timeline

import (
	"sync"
	"time"
)

// Header is the HTTP header that carries a stamp between processes.
const Header = "Sesame-Clock"

// MaxClockSkew is how far a stamp that is observed may be ahead of the local
// clock. It keeps one host with a wrong clock from moving all others.
const MaxClockSkew = time.Minute

// Clock is a hybrid logical clock. Its moments only increase.
type Clock struct {
	mu   sync.Mutex
	last HLC
}

// Now returns a moment later than all before it, at or after a physical time.
func (c *Clock) Now(physical time.Time) HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(physical.UnixNano())
}

// Observe takes over a stamp that came with a message: later moments of this
// clock are later than it.
func (c *Clock) Observe(physical time.Time, remote HLC) error {
	wall := physical.UnixNano()
	if remote.Wall > wall+MaxClockSkew.Nanoseconds() {
		return ErrClockSkew
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return nil
}

func (c *Clock) advance(wall int64) HLC {
	if wall > c.last.Wall {
		c.last = HLC{Wall: wall}
		return c.last
	}
	c.last.Logical++
	if c.last.Logical == 0 {
		c.last.Wall++
	}
	return c.last
}
