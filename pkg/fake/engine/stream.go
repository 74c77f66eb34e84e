package engine

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// stream is the generation of one attempt at a request.
type stream struct {
	key    infer.Cancel
	seq    *Sequence
	answer Answer
	tokens chan int // offsets of generated tokens; buffered for the complete answer

	once    sync.Once
	aborted chan struct{} // closed when the attempt is aborted
	err     error         // reason of the abort; set before aborted is closed
}

func newStream(key infer.Cancel, s *Sequence, a Answer) *stream {
	return &stream{
		key:     key,
		seq:     s,
		answer:  a,
		tokens:  make(chan int, a.Len()+1),
		aborted: make(chan struct{}),
	}
}

// abort aborts the attempt with an error.
func (s *stream) abort(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.aborted)
	})
}
