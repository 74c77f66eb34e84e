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

// hints is the set of blocks that one incarnation of an upstream has probably cached.
type hints struct {
	incarnation   view.Incarnation
	sequence      uint64
	sequenceKnown bool // a sequence number has been seen
	blocks        map[uint64]struct{}
}

// NewIndex returns an index that keeps at most limit blocks per upstream.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, hints: make(map[view.HostName]*hints)}
}

// Sequence returns the sequence number of the last cache event seen from an incarnation.
func (x *Index) Sequence(host view.HostName, inc view.Incarnation) uint64 {
	h := x.hints[host]
	if h == nil || h.incarnation != inc {
		return 0
	}
	return h.sequence
}

// Observe applies the cache events of a report. It skips events that were seen before. A gap
// clears what was known before it.
func (x *Index) Observe(host view.HostName, inc view.Incarnation, events []report.CacheEvent) {
	h := x.hintsFor(host, inc)
	for _, ev := range events {
		if h.sequenceKnown && ev.Sequence <= h.sequence {
			continue
		}
		if ev.Sequence != h.sequence+1 {
			clear(h.blocks)
		}
		h.apply(ev, x.limit)
	}
}

// RecordSent records a prompt that was sent to an upstream, which will cache its blocks.
func (x *Index) RecordSent(host view.HostName, inc view.Incarnation, blocks []uint64) {
	h := x.hintsFor(host, inc)
	for _, b := range blocks {
		h.add(b, x.limit)
	}
}

// Forget drops the hints of an upstream.
func (x *Index) Forget(host view.HostName) { delete(x.hints, host) }

// Hits returns how many leading blocks of a prompt are probably cached.
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

// hintsFor returns the hints of an incarnation. Another incarnation starts without hints.
func (x *Index) hintsFor(host view.HostName, inc view.Incarnation) *hints {
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
	h.sequence, h.sequenceKnown = ev.Sequence, true
}

// add adds a block. A full set is cleared first, which bounds its size.
func (h *hints) add(b uint64, limit int) {
	if len(h.blocks) >= limit {
		clear(h.blocks)
	}
	h.blocks[b] = struct{}{}
}
