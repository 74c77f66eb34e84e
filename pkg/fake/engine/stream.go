package engine

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// stream is one attempt at a request.
type stream struct {
	key    infer.Cancel
	seq    *Sequence
	answer Answer
	tokens chan int // offsets of generated tokens; has room for all

	once sync.Once
	gone chan struct{} // closed when the attempt is cut off
	err  error         // why; set before gone is closed
}

func newStream(key infer.Cancel, s *Sequence, a Answer) *stream {
	return &stream{
		key:    key,
		seq:    s,
		answer: a,
		tokens: make(chan int, a.Len()+1),
		gone:   make(chan struct{}),
	}
}

// cut ends the attempt with an error.
func (s *stream) cut(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.gone)
	})
}
