package prefix

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Index holds the hints of all upstreams. It is not safe for concurrent use.
type Index struct {
	limit int
	hints map[view.HostName]*hints
}

// hints are the blocks that one incarnation of an upstream may have cached.
type hints struct {
	incarnation view.Incarnation
	sequence    uint64
	known       bool // a sequence number was seen
	blocks      map[uint64]struct{}
}

// NewIndex returns an index that keeps at most limit blocks of each upstream.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, hints: make(map[view.HostName]*hints)}
}

// Sequence returns the last cache event that was seen of an incarnation.
func (x *Index) Sequence(host view.HostName, inc view.Incarnation) uint64 {
	h := x.hints[host]
	if h == nil || h.incarnation != inc {
		return 0
	}
	return h.sequence
}

// Observe takes the cache events of a report. Events that were seen are
// skipped; a gap clears what was known before it.
func (x *Index) Observe(host view.HostName, inc view.Incarnation, events []report.CacheEvent) {
	h := x.of(host, inc)
	for _, ev := range events {
		if h.known && ev.Sequence <= h.sequence {
			continue
		}
		if ev.Sequence != h.sequence+1 {
			clear(h.blocks)
		}
		h.apply(ev, x.limit)
	}
}

// RecordSent notes a prompt that went to an upstream: its blocks will be cached.
func (x *Index) RecordSent(host view.HostName, inc view.Incarnation, blocks []uint64) {
	h := x.of(host, inc)
	for _, b := range blocks {
		h.add(b, x.limit)
	}
}

// Forget drops the hints of an upstream.
func (x *Index) Forget(host view.HostName) { delete(x.hints, host) }

// Hits returns how many leading blocks of a prompt are hinted.
func (x *Index) Hits(host view.HostName, inc view.Incarnation, blocks []uint64) int {
	h := x.hints[host]
	if h == nil || h.incarnation != inc {
		return 0
	}
	for i, b := range blocks {
		if _, ok := h.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (x *Index) of(host view.HostName, inc view.Incarnation) *hints {
	h := x.hints[host]
	if h == nil || h.incarnation != inc {
		h = &hints{incarnation: inc, blocks: make(map[uint64]struct{})}
		x.hints[host] = h
	}
	return h
}

func (h *hints) apply(ev report.CacheEvent, limit int) {
	for _, b := range ev.Stored {
		h.add(b, limit)
	}
	for _, b := range ev.Evicted {
		delete(h.blocks, b)
	}
	h.sequence, h.known = ev.Sequence, true
}

// add keeps the number of blocks bounded: a full set starts anew.
func (h *hints) add(b uint64, limit int) {
	if len(h.blocks) >= limit {
		clear(h.blocks)
	}
	h.blocks[b] = struct{}{}
}
