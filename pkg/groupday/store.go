package groupday

import (
	"container/heap"
	"time"
)

// store is the weights store: all that fetch get the same rate.
type store struct {
	rate    float64 // bytes a second in total
	perHost float64 // bytes a second at most
	at      time.Duration
	given   float64 // bytes that one which always fetched would have got
	active  fetches
}

// fetch is one member's load.
type fetch struct {
	member *member
	ends   float64 // value of given at which it ends
	index  int     // in the heap, -1 when out of it
}

// speed is the rate that each gets now.
func (s *store) speed() float64 {
	if len(s.active) == 0 {
		return 0
	}
	return min(s.perHost, s.rate/float64(len(s.active)))
}

// advance lets time pass.
func (s *store) advance(now time.Duration) {
	s.given += s.speed() * (now - s.at).Seconds()
	s.at = now
}

// begin adds a fetch.
func (s *store) begin(m *member, bytes int64) *fetch {
	f := &fetch{member: m, ends: s.given + float64(bytes)}
	heap.Push(&s.active, f)
	return f
}

// cancel takes a fetch out.
func (s *store) cancel(f *fetch) {
	if f.index >= 0 {
		heap.Remove(&s.active, f.index)
	}
}

// next tells when the next fetch ends if none comes or goes.
func (s *store) next() (time.Duration, bool) {
	if len(s.active) == 0 {
		return 0, false
	}
	left := max(0, s.active[0].ends-s.given)
	return s.at + time.Duration(left/s.speed()*float64(time.Second)) + time.Microsecond, true
}

// ended takes a fetch out that has ended.
func (s *store) ended() (*fetch, bool) {
	if len(s.active) == 0 || s.active[0].ends > s.given {
		return nil, false
	}
	return heap.Pop(&s.active).(*fetch), true
}

// fetches is a heap by end.
type fetches []*fetch

func (h fetches) Len() int           { return len(h) }
func (h fetches) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h fetches) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a fetch.
func (h *fetches) Push(x any) {
	f := x.(*fetch)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop takes the last fetch out.
func (h *fetches) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
