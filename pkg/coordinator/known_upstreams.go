package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// upstreamsFile is the name of the file with the last known upstreams.
	upstreamsFile = "upstreams.json"
	// saveInterval is the minimum time between writes of the file.
	saveInterval = time.Second
)

// saveUpstreamsLoop writes the known upstreams to disk when they changed. After a restart of all
// coordinators the next leader can report them to the entry hosts immediately, without waiting for
// announcements. The file is only a hint: an upstream refuses requests based on outdated entries
// itself.
func (c *Coordinator) saveUpstreamsLoop(ctx context.Context) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	written := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		revision := c.registry.Revision()
		var us []fleet.Upstream
		if revision != written {
			us = c.registry.Since(0)
		}
		c.mu.Unlock()
		if revision == written {
			continue
		}
		if err := c.writeHint(upstreamsFile, us); err != nil {
			c.cfg.Logger.Warn("failed to write known upstreams", "count", len(us), "cause", err)
			continue // the disk may have room again later
		}
		written = revision
	}
}

// loadUpstreams loads the upstreams known before a restart.
func (c *Coordinator) loadUpstreams() {
	var us []fleet.Upstream
	found, err := c.readHint(upstreamsFile, &us)
	if err != nil {
		c.cfg.Logger.Warn("failed to read known upstreams; waiting for their announcements", "cause", err)
	}
	if !found || err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, u := range us {
		u.Cordoned = false
		if u.State != fleet.Gone {
			c.registry.Announce(now, u)
		}
	}
	c.cfg.Logger.Info("loaded known upstreams", "count", len(us))
}
