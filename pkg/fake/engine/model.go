package engine

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/prefix"
)

// blockTokens is the number of prompt tokens in a prefix block.
const blockTokens = prefix.BlockBytes / bytesPerToken

const bytesPerToken = 4

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Model is the timing of one engine. It has no clock: the driver asks for the
// length of each step and lets it pass.
type Model struct {
	options   ModelOptions
	cache     *Cache
	started   time.Duration // when the engine was last cold, on the driver's clock
	waiting   []*Sequence
	running   []*Sequence
	collapsed bool
	finished  uint64
	rate      float64 // tokens a second in the last step
}

// NewModel returns a cold engine that started at a time of the driver's clock.
func NewModel(o ModelOptions, started time.Duration) *Model {
	return &Model{options: o, cache: NewCache(o.CacheBlocks), started: started}
}

// Restart makes the engine cold, its cache empty and its counters 0.
func (m *Model) Restart(now time.Duration) {
	m.started = now
	m.cache = NewCache(m.options.CacheBlocks)
	m.collapsed = false
	m.finished = 0
}

// Add queues a sequence.
func (m *Model) Add(s *Sequence) {
	i := len(m.waiting)
	for i > 0 && m.waiting[i-1].Priority < s.Priority {
		i--
	}
	m.waiting = slices.Insert(m.waiting, i, s)
}

// Remove ends a sequence early.
func (m *Model) Remove(s *Sequence) {
	same := func(x *Sequence) bool { return x == s }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
}

// Idle tells whether there is nothing to do.
func (m *Model) Idle() bool { return len(m.waiting) == 0 && len(m.running) == 0 }

// Collapsed tells whether the engine is overloaded while cold.
func (m *Model) Collapsed() bool { return m.collapsed }

// Load returns the figures of a report.
func (m *Model) Load() report.Load {
	return report.Load{
		Running:         len(m.running),
		Waiting:         len(m.waiting),
		CacheUsed:       m.cache.Usage(),
		TokensPerSecond: m.rate,
		FinishedTotal:   m.finished,
	}
}

// CacheEvents returns the cache events after a sequence number.
func (m *Model) CacheEvents(after uint64) []report.CacheEvent { return m.cache.EventsAfter(after) }

// BeginStep starts a step at a time and returns how long it takes. Waiting
// sequences enter the batch; End gives each sequence of the batch a token.
func (m *Model) BeginStep(now time.Duration) time.Duration {
	prefill := m.admit()
	cold := now-m.started < m.options.ColdTime
	m.judge(now-m.started, cold)
	d := m.options.StepBase + time.Duration(len(m.running))*m.options.StepPerSequence
	d += time.Duration(prefill) * m.options.PrefillPerToken
	switch {
	case m.collapsed:
		d = time.Duration(float64(d) * m.options.CollapseFactor)
	case cold:
		d = time.Duration(float64(d) * m.options.ColdFactor)
	}
	if d > 0 {
		m.rate = float64(len(m.running)) / d.Seconds()
	}
	return d
}

// admit fills the batch and returns the prompt tokens to compute.
func (m *Model) admit() int {
	prefill := 0
	for len(m.waiting) > 0 && len(m.running) < m.options.MaxBatch {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		s.Cached = min(m.cache.LookupAndStore(s.Blocks)*blockTokens, s.Prompt)
		prefill += s.Prompt - s.Cached
		m.running = append(m.running, s)
	}
	return prefill
}

// judge starts a collapse when a cold engine has more work than it bears, and
// ends it when little is left.
func (m *Model) judge(age time.Duration, cold bool) {
	load := len(m.running) + len(m.waiting)
	switch {
	case cold && load > m.bears(age):
		m.collapsed = true
	case load <= m.options.ColdBatch/2 || (!cold && load <= m.options.ColdBatch):
		m.collapsed = false
	}
}

// bears is the work that an engine of an age bears: from ColdBatch to MaxBatch
// over ColdTime.
func (m *Model) bears(age time.Duration) int {
	more := float64(m.options.MaxBatch-m.options.ColdBatch) * float64(age) / float64(m.options.ColdTime)
	return m.options.ColdBatch + int(more)
}

// EndStep finishes a step: each sequence that was in the batch gets a token. It
// returns them; those that are done have left the batch.
func (m *Model) EndStep() []*Sequence {
	stepped := slices.Clone(m.running)
	for _, s := range stepped {
		s.Next++
	}
	m.running = slices.DeleteFunc(m.running, func(s *Sequence) bool { return s.Done() })
	m.finished += uint64(len(stepped) - len(m.running))
	return stepped
}
