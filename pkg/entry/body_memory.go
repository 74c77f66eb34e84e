package entry

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// errBodyMemory is returned if a body does not fit in the memory that is left for bodies.
var errBodyMemory = eris.New("no memory is left for the body")

// bodyMemory bounds the bytes of request bodies that are held at once.
type bodyMemory struct {
	most int64 // 0: no bound
	held atomic.Int64
}

// take counts bytes that were read. It returns false if they are too many.
func (m *bodyMemory) take(n int64) bool { return m.held.Add(n) <= m.most || m.most == 0 }

// give counts bytes back.
func (m *bodyMemory) give(n int64) { m.held.Add(-n) }

// bodyReader reads the body of one request and counts it.
type bodyReader struct {
	body   io.Reader
	memory *bodyMemory
	held   int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.held += int64(n)
	if !r.memory.take(int64(n)) {
		return n, errBodyMemory
	}
	return n, err
}

// release gives back what was read.
func (r *bodyReader) release() {
	r.memory.give(r.held)
	r.held = 0
}
