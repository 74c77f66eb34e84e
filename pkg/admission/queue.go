package admission

import "slices"

// queue holds the waiting requests of one organisation, first to serve first.
type queue struct {
	name    string
	weight  int
	tickets []*Request
	finish  float64 // virtual finish time of the last one served
}

// insert places a ticket behind those of its priority and above.
func (q *queue) insert(t *Request) {
	i := len(q.tickets)
	for i > 0 && q.tickets[i-1].Priority < t.Priority {
		i--
	}
	q.tickets = slices.Insert(q.tickets, i, t)
}

// ahead counts those that go before a priority's next arrival.
func (q *queue) ahead(priority int) int {
	n := len(q.tickets)
	for n > 0 && q.tickets[n-1].Priority < priority {
		n--
	}
	return n
}

func (q *queue) remove(id uint64) (*Request, bool) {
	i := slices.IndexFunc(q.tickets, func(t *Request) bool { return t.ID == id })
	if i < 0 {
		return nil, false
	}
	t := q.tickets[i]
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return t, true
}
