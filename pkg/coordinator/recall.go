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
	// recallName is the file with the upstreams that were last known.
	recallName = "upstreams.json"
	// recallInterval is how often it is written when something changed.
	recallInterval = time.Second
)

// remember writes the known upstreams down now and then. After a restart of
// all coordinators the next leader tells the entry hosts of them at once,
// without waiting for announcements. The file is a hint: what is not true any
// more is refused by the upstreams themselves.
func (c *Coordinator) remember(ctx context.Context) {
	tick := time.NewTicker(recallInterval)
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
		if err := c.writeRecall(us); err != nil {
			c.cfg.Logger.Warn("known upstreams could not be written", "count", len(us), "cause", err)
		}
	}
}

func (c *Coordinator) writeRecall(us []fleet.Upstream) error {
	raw, err := json.Marshal(us)
	if err != nil {
		return err
	}
	return writeWhole(c.cfg.DataDir, recallName, raw)
}

// recall reads the upstreams that were known before a restart.
func (c *Coordinator) recall() {
	raw, err := os.ReadFile(filepath.Join(c.cfg.DataDir, recallName))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var us []fleet.Upstream
	if err == nil {
		err = json.Unmarshal(raw, &us)
	}
	if err != nil {
		c.cfg.Logger.Warn("known upstreams can't be read; waiting for their announcements", "cause", err)
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
	c.cfg.Logger.Info("upstreams known from before", "count", len(us))
}
