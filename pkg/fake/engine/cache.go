package engine

import (
	"container/list"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// eventsKept bounds the cache events that can still be asked for.
const eventsKept = 256

// Cache is a prefix cache that drops the least recently used block.
type Cache struct {
	limit    int
	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []report.CacheEvent
}

// NewCache returns a cache for a number of blocks.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// LookupAndStore looks up a prompt's blocks, returns how many leading ones were there and
// stores the rest.
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
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

// EventsAfter returns the events after a sequence number that are still kept.
func (c *Cache) EventsAfter(sequence uint64) []report.CacheEvent {
	for i, ev := range c.events {
		if ev.Sequence > sequence {
			return append([]report.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}

// Usage returns the share of the memory in use.
func (c *Cache) Usage() float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.limit)
}
