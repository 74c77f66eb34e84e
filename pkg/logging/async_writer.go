package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the number of lines that are buffered for a slow reader of the output.
const maxQueuedLines = 2048

// AsyncWriter is a writer that never blocks: one goroutine writes the queued lines, and
// lines are dropped and counted while the queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.RWMutex // held for reading while a line is queued
	closed bool
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *AsyncWriter) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// Queued lines are combined into one write.
		for more := true; more && len(line) < maxWriteBytes; {
			select {
			case next, ok := <-q.lines:
				more = ok
				line = append(line, next...)
			default:
				more = false
			}
		}
		_, _ = w.Write(line) // a failed log write can't be reported elsewhere
	}
}

// maxWriteBytes is the size in bytes from which combined lines are written without adding
// more.
const maxWriteBytes = 32 << 10

// Write implements io.Writer. It queues a copy of the line and returns immediately. After Close it
// drops the line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *AsyncWriter) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines. It waits for closeTimeout at most, since the output
// may have no reader.
func (q *AsyncWriter) Close() {
	q.closeQueue()
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

func (q *AsyncWriter) closeQueue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
}

// closeTimeout is how long Close waits for a reader of the output; short against the grace
// time of a process stop.
const closeTimeout = 500 * time.Millisecond
