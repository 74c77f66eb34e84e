package admission

import "time"

// Capacity is how many requests may run, and how many are running.
type Capacity struct {
	Total int
	Used  int
}

// activity records when an organisation last submitted a request.
type activity struct {
	weight int
	at     time.Duration
}

// activeWindow is how long an organisation counts as active after it submitted a request.
const activeWindow = 10 * time.Second

// SetCapacity sets how many requests may run and how many are running. While the total is 0 no
// organisation has to yield.
func (s *Scheduler) SetCapacity(r Capacity) { s.capacity = r }

// mustYield reports whether a queue's organisation is over its share while the remaining capacity
// is reserved for the others.
func (s *Scheduler) mustYield(now time.Duration, q *queue) bool {
	if s.options.Unsafe.NoFairness || s.capacity.Total == 0 || float64(s.capacity.Used) < s.options.FairShareThreshold*float64(s.capacity.Total) {
		return false
	}
	total := 0
	for name, a := range s.active {
		if now-a.at > activeWindow && s.running[name] == 0 {
			delete(s.active, name)
			continue
		}
		total += a.weight
	}
	if total <= q.weight {
		return false
	}
	share := float64(s.capacity.Total) * float64(q.weight) / float64(total)
	return float64(s.running[q.name]) >= max(minRunning, fairShareTolerance*share)
}

const (
	// fairShareTolerance is how many times its share an organisation may run before it has to
	// yield. Random variation alone brings some of several equal organisations above their share.
	fairShareTolerance = 1.5
	// minRunning is how many requests an organisation may always run.
	minRunning = 2
)

// WaitingForCapacity returns how many requests wait because the capacity is used up, and not
// because their organisation has to yield.
func (s *Scheduler) WaitingForCapacity() int {
	if s.capacity.Used < s.capacity.Total {
		return 0
	}
	return len(s.queueByID)
}
