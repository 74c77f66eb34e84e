package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
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
		written = revision
		if err := c.writeUpstreams(us); err != nil {
			c.cfg.Logger.Warn("failed to write known upstreams", "count", len(us), "cause", err)
		}
	}
}

func (c *Coordinator) writeUpstreams(us []fleet.Upstream) error {
	raw, err := json.Marshal(us)
	if err != nil {
		return err
	}
	return replaceFile(c.cfg.DataDir, upstreamsFile, raw)
}

// loadUpstreams loads the upstreams known before a restart.
func (c *Coordinator) loadUpstreams() {
	raw, err := os.ReadFile(filepath.Join(c.cfg.DataDir, upstreamsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var us []fleet.Upstream
	if err == nil {
		err = json.Unmarshal(raw, &us)
	}
	if err != nil {
		c.cfg.Logger.Warn("failed to read known upstreams; waiting for their announcements", "cause", err)
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
