package groupday

import (
	"container/heap"
	"time"
)

// weightsStore is the store from which members fetch weights. All running fetches get the same
// rate.
type weightsStore struct {
	totalRate     float64 // bytes per second, all fetches together
	hostRate      float64 // bytes per second, the most for one host
	updatedAt     time.Duration
	bytesPerFetch float64 // bytes that a fetch running from the start would have received
	active        fetchHeap
}

// fetch is the transfer of weights to one member.
type fetch struct {
	member *member
	endsAt float64 // value of bytesPerFetch at which the fetch ends
	index  int     // in the heap; -1 after removal
}

// fetchRate returns the present rate of each fetch in bytes per second.
func (s *weightsStore) fetchRate() float64 {
	if len(s.active) == 0 {
		return 0
	}
	return min(s.hostRate, s.totalRate/float64(len(s.active)))
}

// advance adds the bytes received until now.
func (s *weightsStore) advance(now time.Duration) {
	s.bytesPerFetch += s.fetchRate() * (now - s.updatedAt).Seconds()
	s.updatedAt = now
}

// begin starts a fetch.
func (s *weightsStore) begin(m *member, bytes int64) *fetch {
	f := &fetch{member: m, endsAt: s.bytesPerFetch + float64(bytes)}
	heap.Push(&s.active, f)
	return f
}

// cancel stops a fetch that is still running.
func (s *weightsStore) cancel(f *fetch) {
	if f.index >= 0 {
		heap.Remove(&s.active, f.index)
	}
}

// nextEnd returns when the next fetch ends if none starts or stops before, and false if none runs.
func (s *weightsStore) nextEnd() (time.Duration, bool) {
	if len(s.active) == 0 {
		return 0, false
	}
	left := max(0, s.active[0].endsAt-s.bytesPerFetch)
	return s.updatedAt + time.Duration(left/s.fetchRate()*float64(time.Second)) + time.Microsecond, true
}

// popEnded removes and returns a fetch that has ended, and false if there is none.
func (s *weightsStore) popEnded() (*fetch, bool) {
	if len(s.active) == 0 || s.active[0].endsAt > s.bytesPerFetch {
		return nil, false
	}
	return heap.Pop(&s.active).(*fetch), true
}

// fetchHeap is a heap of fetches by their end.
type fetchHeap []*fetch

func (h fetchHeap) Len() int           { return len(h) }
func (h fetchHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h fetchHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *fetchHeap) Push(x any) {
	f := x.(*fetch)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *fetchHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
