package admission

import (
	"cmp"
	"slices"
	"time"
)

// Flow orders the requests that wait for one kind of service.
type Flow struct {
	options  Options
	queues   map[string]*queue
	where    map[uint64]*queue // by ticket
	virtual  float64           // start time of the last one served
	arrivals uint64
	estimate estimate
	running  map[string]int // started and not ended, by organisation
	active   map[string]activity
	room     Room
}

// NewFlow returns an empty flow.
func NewFlow(o Options) *Flow {
	o = o.withDefaults()
	return &Flow{
		options:  o,
		queues:   make(map[string]*queue),
		where:    make(map[uint64]*queue),
		estimate: estimate{perCost: float64(o.DefaultService)},
		running:  make(map[string]int),
		active:   make(map[string]activity),
	}
}

// Len returns how many wait.
func (f *Flow) Len() int { return len(f.where) }

// Offer queues a request or refuses it with a *RejectError.
func (f *Flow) Offer(now time.Duration, t Ticket) error {
	t.Weight = max(1, t.Weight)
	if t.Cost <= 0 {
		t.Cost = 1
	}
	q := f.queue(t)
	if len(q.tickets) >= f.limit(t) {
		return reject(ReasonQueueFull, f.wait(q, len(q.tickets)/2+1))
	}
	wait := f.wait(q, q.ahead(t.Priority))
	if f.late(now+wait, &t) {
		return reject(ReasonDeadline, wait)
	}
	if f.options.MaxWait > 0 && wait > f.options.MaxWait {
		return reject(ReasonWait, wait-f.options.MaxWait)
	}
	f.arrivals++
	t.number = f.arrivals
	f.active[t.Organisation] = activity{weight: t.Weight, at: now}
	q.weight = t.Weight
	q.insert(&t)
	f.where[t.ID] = q
	return nil
}

func (f *Flow) queue(t Ticket) *queue {
	name := t.Organisation
	if f.options.Unguarded.NoFairness {
		name = ""
	}
	q := f.queues[name]
	if q == nil {
		q = &queue{name: name, weight: max(1, t.Weight)}
		f.queues[name] = q
	}
	return q
}

func (f *Flow) limit(t Ticket) int {
	if t.MaxQueued > 0 {
		return t.MaxQueued
	}
	return f.options.MaxQueued
}

// late tells whether a request started then would miss its deadline.
func (f *Flow) late(start time.Duration, t *Ticket) bool {
	return !f.options.Unguarded.NoDeadlines && t.Deadline != 0 && start+f.estimate.service(t.Cost) > t.Deadline
}

// wait estimates the time that n requests of a queue need under contention.
func (f *Flow) wait(q *queue, n int) time.Duration {
	total := 0
	for _, other := range f.queues {
		if len(other.tickets) > 0 || other == q {
			total += other.weight
		}
	}
	return f.estimate.wait(n, float64(q.weight)/float64(total))
}

// Next takes the next request in fair order for which fits is true. Fits is
// asked for at most one request of each organisation and priority.
func (f *Flow) Next(now time.Duration, fits func(Ticket) bool) (Ticket, bool) {
	for _, q := range f.order() {
		if f.mustYield(now, q) {
			continue
		}
		i := q.firstFit(fits)
		if i < 0 {
			continue
		}
		t := q.tickets[i]
		q.tickets = slices.Delete(q.tickets, i, i+1)
		delete(f.where, t.ID)
		f.serve(now, q, t)
		return *t, true
	}
	return Ticket{}, false
}

// firstFit returns the first ticket that fits, looking at the first of each
// priority.
func (q *queue) firstFit(fits func(Ticket) bool) int {
	for i, t := range q.tickets {
		if i > 0 && q.tickets[i-1].Priority == t.Priority {
			continue
		}
		if fits(*t) {
			return i
		}
	}
	return -1
}

// order lists the queues with work by the virtual start of their next request.
func (f *Flow) order() []*queue {
	list := make([]*queue, 0, len(f.queues))
	for _, q := range f.queues {
		if len(q.tickets) > 0 {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(f.start(a), f.start(b)), cmp.Compare(a.name, b.name))
	})
	return list
}

func (f *Flow) start(q *queue) float64 { return max(f.virtual, q.finish) }

func (f *Flow) serve(now time.Duration, q *queue, t *Ticket) {
	start := f.start(q)
	f.virtual = start
	q.finish = start + t.Cost/float64(t.Weight)
	f.running[t.Organisation]++
	f.room.Used++
	f.estimate.started(now, len(f.where) > 0)
	if len(f.where) == 0 {
		f.rest()
	}
}

// rest starts virtual time anew when nothing waits.
func (f *Flow) rest() {
	clear(f.queues)
	f.virtual = 0
}

// Remove takes out a request whose caller left. It tells whether it waited.
func (f *Flow) Remove(id uint64) bool {
	q, ok := f.where[id]
	if !ok {
		return false
	}
	delete(f.where, id)
	_, ok = q.remove(id)
	return ok
}

// Expire takes out the requests that can't end before their deadline even if
// they start now, in order of arrival.
func (f *Flow) Expire(now time.Duration) []Ticket {
	var out []Ticket
	for _, q := range f.queues {
		q.tickets = slices.DeleteFunc(q.tickets, func(t *Ticket) bool {
			if !f.late(now, t) {
				return false
			}
			out = append(out, *t)
			delete(f.where, t.ID)
			return true
		})
	}
	slices.SortFunc(out, func(a, b Ticket) int { return cmp.Compare(a.number, b.number) })
	return out
}

// Ended tells that a request that Next gave out runs no more.
func (f *Flow) Ended(t Ticket) {
	f.room.Used--
	if f.running[t.Organisation]--; f.running[t.Organisation] <= 0 {
		delete(f.running, t.Organisation)
	}
}

// Finished takes the service time of a request that ended well.
func (f *Flow) Finished(t Ticket, d time.Duration) { f.estimate.finished(d, max(1, t.Cost)) }

// RetryAfter returns when an organisation may find room.
func (f *Flow) RetryAfter(organisation string) time.Duration {
	q := f.queues[organisation]
	if q == nil {
		return MinRetryAfter
	}
	return max(MinRetryAfter, f.wait(q, len(q.tickets)))
}
