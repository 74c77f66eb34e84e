package admission

import "time"

// Capacity is how many requests may run, and how many do.
type Capacity struct {
	Total int
	Used  int
}

// activity is when an organisation last offered a request.
type activity struct {
	weight int
	at     time.Duration
}

// activeTime is how long an organisation that offered a request counts as one
// that wants its share.
const activeTime = 10 * time.Second

// SetCapacity tells how many requests may run and how many do. Without room known
// no organisation has to yield.
func (f *Scheduler) SetCapacity(r Capacity) { f.room = r }

// mustYield tells whether a queue's organisation is over its share while the
// room left is kept for the others.
func (f *Scheduler) mustYield(now time.Duration, q *queue) bool {
	if f.options.Unsafe.NoFairness || f.room.Total == 0 || float64(f.room.Used) < f.options.FairShareThreshold*float64(f.room.Total) {
		return false
	}
	total := 0
	for name, a := range f.active {
		if now-a.at > activeTime && f.running[name] == 0 {
			delete(f.active, name)
			continue
		}
		total += a.weight
	}
	if total <= q.weight {
		return false
	}
	share := float64(f.room.Total) * float64(q.weight) / float64(total)
	return float64(f.running[q.name]) >= max(leastRunning, tolerance*share)
}

const (
	// tolerance is how many times its share an organisation may run before it
	// has to yield; among equal organisations chance alone brings some over it.
	tolerance = 1.5
	// leastRunning is what an organisation may always run.
	leastRunning = 2
)

// WaitingForCapacity returns how many requests wait because there is no room, and not
// because their organisation has to yield.
func (f *Scheduler) WaitingForCapacity() int {
	if f.room.Used < f.room.Total {
		return 0
	}
	return len(f.where)
}
