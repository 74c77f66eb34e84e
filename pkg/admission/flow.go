package admission

import (
	"cmp"
	"slices"
	"time"
)

// Scheduler orders the requests that wait for one kind of service.
type Scheduler struct {
	options  Options
	queues   map[string]*queue
	where    map[uint64]*queue // by ticket
	virtual  float64           // start time of the last one served
	arrivals uint64
	estimate estimate
	running  map[string]int // started and not ended, by organisation
	active   map[string]activity
	room     Capacity
}

// NewScheduler returns an empty flow.
func NewScheduler(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{
		options:  o,
		queues:   make(map[string]*queue),
		where:    make(map[uint64]*queue),
		estimate: estimate{perCost: float64(o.DefaultServiceTime)},
		running:  make(map[string]int),
		active:   make(map[string]activity),
	}
}

// Len returns how many wait.
func (f *Scheduler) Len() int { return len(f.where) }

// Enqueue queues a request or refuses it with a *RejectError.
func (f *Scheduler) Enqueue(now time.Duration, t Request) error {
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

func (f *Scheduler) queue(t Request) *queue {
	name := t.Organisation
	if f.options.Unsafe.NoFairness {
		name = ""
	}
	q := f.queues[name]
	if q == nil {
		q = &queue{name: name, weight: max(1, t.Weight)}
		f.queues[name] = q
	}
	return q
}

func (f *Scheduler) limit(t Request) int {
	if t.MaxQueued > 0 {
		return t.MaxQueued
	}
	return f.options.MaxQueued
}

// late tells whether a request started then would miss its deadline.
func (f *Scheduler) late(start time.Duration, t *Request) bool {
	return !f.options.Unsafe.NoDeadlines && t.Deadline != 0 && start+f.estimate.service(t.Cost) > t.Deadline
}

// wait estimates the time that n requests of a queue need under contention.
func (f *Scheduler) wait(q *queue, n int) time.Duration {
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
func (f *Scheduler) Next(now time.Duration, fits func(Request) bool) (Request, bool) {
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
	return Request{}, false
}

// firstFit returns the first ticket that fits, looking at the first of each
// priority.
func (q *queue) firstFit(fits func(Request) bool) int {
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
func (f *Scheduler) order() []*queue {
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

func (f *Scheduler) start(q *queue) float64 { return max(f.virtual, q.finish) }

func (f *Scheduler) serve(now time.Duration, q *queue, t *Request) {
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
func (f *Scheduler) rest() {
	clear(f.queues)
	f.virtual = 0
}

// Remove takes out a request whose caller left. It tells whether it waited.
func (f *Scheduler) Remove(id uint64) bool {
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
func (f *Scheduler) Expire(now time.Duration) []Request {
	var out []Request
	for _, q := range f.queues {
		q.tickets = slices.DeleteFunc(q.tickets, func(t *Request) bool {
			if !f.late(now, t) {
				return false
			}
			out = append(out, *t)
			delete(f.where, t.ID)
			return true
		})
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.number, b.number) })
	return out
}

// RequestEnded tells that a request that Next gave out runs no more.
func (f *Scheduler) RequestEnded(t Request) {
	f.room.Used--
	if f.running[t.Organisation]--; f.running[t.Organisation] <= 0 {
		delete(f.running, t.Organisation)
	}
}

// RecordServiceTime takes the service time of a request that ended well.
func (f *Scheduler) RecordServiceTime(t Request, d time.Duration) {
	f.estimate.finished(d, max(1, t.Cost))
}

// RetryAfter returns when an organisation may find room.
func (f *Scheduler) RetryAfter(organisation string) time.Duration {
	q := f.queues[organisation]
	if q == nil {
		return MinRetryAfter
	}
	return max(MinRetryAfter, f.wait(q, len(q.tickets)))
}
