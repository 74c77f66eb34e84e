package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queuedLines bounds the lines that wait for a slow reader of the output.
const queuedLines = 2048

// AsyncWriter is a writer that never blocks: one goroutine passes lines on, and
// lines that find the queue full are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	lost  atomic.Uint64
	done  chan struct{}
	once  sync.Once
}

// NewAsyncWriter returns a queue in front of a writer.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *AsyncWriter) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// Lines that wait go out in one write.
		for more := true; more && len(line) < maxWrite; {
			select {
			case next, ok := <-q.lines:
				more = ok
				line = append(line, next...)
			default:
				more = false
			}
		}
		_, _ = w.Write(line) // there is no other place to tell of it
	}
}

// maxWrite is the size from which lines are written without waiting for more,
// in bytes.
const maxWrite = 32 << 10

// Write implements io.Writer. It takes a copy and returns at once.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *AsyncWriter) Dropped() uint64 { return q.lost.Load() }

// Close writes the lines that wait, for closeWait at most: nobody may read them.
// Nothing may be written afterwards.
func (q *AsyncWriter) Close() {
	q.once.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(closeWait):
	}
}

// closeWait is how long the end of a process waits for a reader of its output;
// short against the grace time of a stop.
const closeWait = 500 * time.Millisecond
