package admission

import "slices"

// queue holds the waiting requests of one organisation in the order of service.
type queue struct {
	name          string
	weight        int
	requests      []*Request
	virtualFinish float64 // virtual finish time of the last request served
}

// insert adds a request behind those of the same or a higher priority.
func (q *queue) insert(r *Request) {
	i := len(q.requests)
	for i > 0 && q.requests[i-1].Priority < r.Priority {
		i--
	}
	q.requests = slices.Insert(q.requests, i, r)
}

// countAhead counts the requests that go before the next arrival of a priority.
func (q *queue) countAhead(priority int) int {
	n := len(q.requests)
	for n > 0 && q.requests[n-1].Priority < priority {
		n--
	}
	return n
}

func (q *queue) remove(id uint64) (*Request, bool) {
	i := slices.IndexFunc(q.requests, func(r *Request) bool { return r.ID == id })
	if i < 0 {
		return nil, false
	}
	r := q.requests[i]
	q.requests = slices.Delete(q.requests, i, i+1)
	return r, true
}
