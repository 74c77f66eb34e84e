package engine

import (
	"container/list"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// maxKeptEvents limits the cache events that are kept for later reports.
const maxKeptEvents = 256

// Cache is a prefix cache that evicts the least recently used block.
type Cache struct {
	limit    int
	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []report.CacheEvent
}

// NewCache returns an empty cache that holds at most limit blocks.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// LookupAndStore looks up a prompt's blocks, stores the missing ones and returns
// the number of leading blocks that were cached.
func (c *Cache) LookupAndStore(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		c.order.MoveToFront(c.blocks[blocks[hits]])
		hits++
	}
	var ev report.CacheEvent
	for _, b := range blocks[hits:] {
		if c.blocks[b] != nil {
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		ev.Stored = append(ev.Stored, b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.blocks, b)
		ev.Evicted = append(ev.Evicted, b)
	}
	c.record(ev)
	return hits
}

func (c *Cache) record(ev report.CacheEvent) {
	if len(ev.Stored) == 0 && len(ev.Evicted) == 0 {
		return
	}
	c.sequence++
	ev.Sequence = c.sequence
	c.events = append(c.events, ev)
	if len(c.events) > maxKeptEvents {
		c.events = c.events[len(c.events)-maxKeptEvents:]
	}
}

// EventsAfter returns the kept events with higher sequence numbers.
func (c *Cache) EventsAfter(sequence uint64) []report.CacheEvent {
	for i, ev := range c.events {
		if ev.Sequence > sequence {
			return append([]report.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

// Usage returns the fraction of the capacity in use.
func (c *Cache) Usage() float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.limit)
}
