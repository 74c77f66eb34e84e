package logging

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// TestBlockedOutputDoesNotBlockWriters writes more lines than the queue holds while
// the output is blocked: writers must not block, dropped lines must be counted, and
// Close must return in time.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		q := NewAsyncWriter(w)
		synctest.Wait()
		began := time.Now()
		const line, lineBytes = "line\n", 5
		// The goroutine may combine this number of lines before it blocks on the output.
		const combined = (maxWriteBytes + lineBytes - 1) / lineBytes
		const lines = 3*maxQueuedLines + combined
		for range lines {
			if _, err := q.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("%d lines took %v", lines, took)
		}
		if lost := q.Dropped(); lost < lines-maxQueuedLines-combined || lost > lines-maxQueuedLines {
			t.Errorf("%d of %d lines lost, the queue holds %d and a write %d", lost, lines, maxQueuedLines, combined)
		}
		began = time.Now()
		q.Close()
		if took := time.Since(began); took > closeTimeout {
			t.Errorf("the end took %v", took)
		}
		close(w.release)
		synctest.Wait()
		if got := uint64(bytes.Count(w.out.Bytes(), []byte("\n"))); got+q.Dropped() != lines {
			t.Errorf("%d lines written and %d lost of %d", got, q.Dropped(), lines)
		}
	})
}

// TestLineAfterCloseIsDropped: a request that ended while its process exited once ended the process
// with a panic.
func TestLineAfterCloseIsDropped(t *testing.T) {
	q := NewAsyncWriter(&bytes.Buffer{})
	q.Close()
	if _, err := q.Write([]byte("line\n")); err != nil || q.Dropped() != 1 {
		t.Errorf("%v, %d lines dropped", err, q.Dropped())
	}
}
