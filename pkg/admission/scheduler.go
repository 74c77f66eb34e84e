package admission

import (
	"cmp"
	"slices"
	"time"
)

// Scheduler orders the requests that wait for one kind of service.
type Scheduler struct {
	options     Options
	queues      map[string]*queue
	queueByID   map[uint64]*queue // by request ID
	virtualTime float64           // virtual start time of the last request served
	arrivals    uint64
	estimate    serviceEstimate
	running     map[string]int // requests started and not ended, by organisation
	active      map[string]activity
	capacity    Capacity
}

// NewScheduler returns a scheduler without requests.
func NewScheduler(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{
		options:   o,
		queues:    make(map[string]*queue),
		queueByID: make(map[uint64]*queue),
		estimate:  serviceEstimate{perCost: float64(o.DefaultServiceTime)},
		running:   make(map[string]int),
		active:    make(map[string]activity),
	}
}

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return len(s.queueByID) }

// Enqueue queues a request or refuses it with a *RejectError.
func (s *Scheduler) Enqueue(now time.Duration, r Request) error {
	r.Weight = max(1, r.Weight)
	if r.Cost <= 0 {
		r.Cost = 1
	}
	q := s.queueFor(r)
	if len(q.requests) >= s.queueLimit(r) {
		return reject(ReasonQueueFull, s.estimateWait(q, len(q.requests)/2+1))
	}
	wait := s.estimateWait(q, q.countAhead(r.Priority))
	if s.missesDeadline(now+wait, &r) {
		return reject(ReasonDeadline, wait)
	}
	if s.options.MaxWait > 0 && wait > s.options.MaxWait {
		return reject(ReasonWait, wait-s.options.MaxWait)
	}
	s.arrivals++
	r.arrival = s.arrivals
	s.active[r.Organisation] = activity{weight: r.Weight, at: now}
	q.weight = r.Weight
	q.insert(&r)
	s.queueByID[r.ID] = q
	return nil
}

func (s *Scheduler) queueFor(r Request) *queue {
	name := r.Organisation
	if s.options.Unsafe.NoFairness {
		name = ""
	}
	q := s.queues[name]
	if q == nil {
		q = &queue{name: name, weight: max(1, r.Weight)}
		s.queues[name] = q
	}
	return q
}

func (s *Scheduler) queueLimit(r Request) int {
	if r.MaxQueued > 0 {
		return r.MaxQueued
	}
	return s.options.MaxQueued
}

// missesDeadline reports whether a request started at the given time would miss its deadline.
func (s *Scheduler) missesDeadline(start time.Duration, r *Request) bool {
	return !s.options.Unsafe.NoDeadlines && r.Deadline != 0 && start+s.estimate.service(r.Cost) > r.Deadline
}

// estimateWait estimates the time that n requests of a queue need under contention.
func (s *Scheduler) estimateWait(q *queue, n int) time.Duration {
	total := 0
	for _, other := range s.queues {
		if len(other.requests) > 0 || other == q {
			total += other.weight
		}
	}
	return s.estimate.wait(n, float64(q.weight)/float64(total))
}

// Next removes and returns the next request in fair order for which fits returns true. It calls
// fits for at most one request of each organisation and priority.
func (s *Scheduler) Next(now time.Duration, fits func(Request) bool) (Request, bool) {
	for _, q := range s.sortedQueues() {
		if s.mustYield(now, q) {
			continue
		}
		i := q.firstFit(fits)
		if i < 0 {
			continue
		}
		r := q.requests[i]
		q.requests = slices.Delete(q.requests, i, i+1)
		delete(s.queueByID, r.ID)
		s.recordStart(now, q, r)
		return *r, true
	}
	return Request{}, false
}

// firstFit returns the index of the first request that fits, or -1. It considers only the first
// request of each priority.
func (q *queue) firstFit(fits func(Request) bool) int {
	for i, r := range q.requests {
		if i > 0 && q.requests[i-1].Priority == r.Priority {
			continue
		}
		if fits(*r) {
			return i
		}
	}
	return -1
}

// sortedQueues returns the queues with requests by the virtual start of their next request.
func (s *Scheduler) sortedQueues() []*queue {
	list := make([]*queue, 0, len(s.queues))
	for _, q := range s.queues {
		if len(q.requests) > 0 {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(s.virtualStart(a), s.virtualStart(b)), cmp.Compare(a.name, b.name))
	})
	return list
}

func (s *Scheduler) virtualStart(q *queue) float64 { return max(s.virtualTime, q.virtualFinish) }

func (s *Scheduler) recordStart(now time.Duration, q *queue, r *Request) {
	start := s.virtualStart(q)
	s.virtualTime = start
	q.virtualFinish = start + r.Cost/float64(r.Weight)
	s.running[r.Organisation]++
	s.capacity.Used++
	s.estimate.started(now, len(s.queueByID) > 0)
	if len(s.queueByID) == 0 {
		s.resetVirtualTime()
	}
}

// resetVirtualTime resets virtual time when no requests wait.
func (s *Scheduler) resetVirtualTime() {
	clear(s.queues)
	s.virtualTime = 0
}

// Remove removes a request whose caller has left. It reports whether the request was waiting.
func (s *Scheduler) Remove(id uint64) bool {
	q, ok := s.queueByID[id]
	if !ok {
		return false
	}
	delete(s.queueByID, id)
	_, ok = q.remove(id)
	return ok
}

// Expire removes the requests that can't end before their deadline even if they start now, and
// returns them in order of arrival.
func (s *Scheduler) Expire(now time.Duration) []Request {
	var out []Request
	for _, q := range s.queues {
		q.requests = slices.DeleteFunc(q.requests, func(r *Request) bool {
			if !s.missesDeadline(now, r) {
				return false
			}
			out = append(out, *r)
			delete(s.queueByID, r.ID)
			return true
		})
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// RequestEnded records that a request returned by Next no longer runs.
func (s *Scheduler) RequestEnded(r Request) {
	s.capacity.Used--
	if s.running[r.Organisation]--; s.running[r.Organisation] <= 0 {
		delete(s.running, r.Organisation)
	}
}

// RecordServiceTime records the service time of a request that succeeded.
func (s *Scheduler) RecordServiceTime(r Request, d time.Duration) {
	s.estimate.finished(d, max(1, r.Cost))
}

// RetryAfter estimates when a request of an organisation may find a free place.
func (s *Scheduler) RetryAfter(organisation string) time.Duration {
	q := s.queues[organisation]
	if q == nil {
		return MinRetryAfter
	}
	return max(MinRetryAfter, s.estimateWait(q, len(q.requests)))
}
