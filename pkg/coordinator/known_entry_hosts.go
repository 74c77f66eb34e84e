package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/census"
)

// entryHostsFile is the name of the file with the last known number of entry hosts.
const entryHostsFile = "entry_hosts.json"

// knownEntryHosts is the content of the file.
type knownEntryHosts struct {
	EntryHosts int `json:"entries"`
}

// saveEntryHostsLoop writes the number of entry hosts to disk when it changed. After a restart of all
// processes the next leader tells entry hosts that number until it has counted them.
func (c *Coordinator) saveEntryHostsLoop(ctx context.Context) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	written := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		entries := c.entryHosts.Entries()
		c.mu.Unlock()
		if entries == written {
			continue
		}
		if err := c.writeHint(entryHostsFile, knownEntryHosts{entries}); err != nil {
			c.cfg.Logger.Warn("failed to write the number of entry hosts", "entry_hosts", entries, "cause", err)
			continue // the disk may have room again later
		}
		written = entries
	}
}

// loadEntryHosts loads the number of entry hosts known before a restart.
func (c *Coordinator) loadEntryHosts() {
	var known knownEntryHosts
	found, err := c.readHint(entryHostsFile, &known)
	if err != nil {
		c.cfg.Logger.Warn("failed to read the number of entry hosts; counting them anew", "cause", err)
	}
	if !found || err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryHosts = census.Restored(known.EntryHosts)
}
