package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// account accumulates downtime and load counts over time.
type account struct {
	Down        [causes]int64 // group-nanoseconds by cause
	Stranded    int64         // host-nanoseconds of available hosts outside serving groups
	LoadsDone   uint64
	LoadsWasted uint64
}

// advance moves the machine's time forward to now and accounts for the time that passed.
func (m *Machine) advance(now view.Time) {
	if now <= m.now {
		return
	}
	past := int64(now - m.now)
	if m.now == 0 {
		past = 0
	}
	m.now = now
	for _, mod := range m.models {
		m.account.addDowntime(mod, past)
	}
	m.account.Stranded += int64(m.availableHosts-m.servingHosts) * past
}

// addDowntime attributes the missing copies of a model to causes.
func (a *account) addDowntime(mod *model, past int64) {
	missing := mod.spec.Copies - mod.counts.takingWork
	for c := Cause(0); c < CauseUnplaced && missing > 0; c++ {
		n := min(missing, mod.counts.down[c])
		a.Down[c] += int64(n) * past
		missing -= n
	}
	if missing > 0 {
		a.Down[CauseUnplaced] += int64(missing) * past
	}
}

// CauseDowntime is the time for which wanted groups took no work for one cause.
type CauseDowntime struct {
	Cause Cause
	Time  time.Duration // summed over groups
}

// Stats describes the state of the groups and their downtime.
type Stats struct {
	Downtime        []CauseDowntime // since the start, by cause; summed over groups
	DowntimeTotal   time.Duration   // sum of Downtime
	Wanted          int             // groups wanted now
	TakingWork      int             // groups that take new work now
	Stranded        int             // available hosts outside serving groups now
	StrandedTime    time.Duration   // summed over hosts since the start
	LoadsDone       uint64          // loads of one member's weights since the start
	LoadsWasted     uint64          // loads started whose weights never served
	LoadsRunning    int             // hosts that may load now
	LoadsWaiting    int             // members whose loads the schedule holds back now
	Spares          int             // free hosts that have weights in memory now
	OrdersDue       int
	Epoch           view.Epoch    // highest fencing number issued
	RolloutsBlocked []string      // model groups whose rollout can't proceed without falling below the minimum
	Grace           time.Duration // longest learned grace period of any model, at most its PauseGrace
}

// Stats returns the figures as of the last step.
func (m *Machine) Stats() Stats {
	s := Stats{
		Stranded:     m.availableHosts - m.servingHosts,
		StrandedTime: time.Duration(m.account.Stranded),
		LoadsDone:    m.account.LoadsDone,
		LoadsWasted:  m.account.LoadsWasted,
		LoadsRunning: len(m.loadingHosts),
		OrdersDue:    len(m.ordersDue),
		Epoch:        m.epoch,
	}
	for c, down := range m.account.Down {
		s.Downtime = append(s.Downtime, CauseDowntime{Cause: Cause(c), Time: time.Duration(down)})
		s.DowntimeTotal += time.Duration(down)
	}
	for _, h := range m.spares {
		if h.ready() {
			s.Spares++
		}
	}
	for _, n := range m.waitingLoads {
		s.LoadsWaiting += n
	}
	for _, mod := range m.sortedModels() {
		s.Wanted += mod.spec.Copies
		s.TakingWork += mod.counts.takingWork
		if mod.blocked && mod.counts.updating == 0 && mod.counts.takingWork <= mod.spec.Minimum {
			s.RolloutsBlocked = append(s.RolloutsBlocked, mod.spec.Name)
		}
		s.Grace = max(s.Grace, m.returns.GracePeriod(m.opts.loadTime(mod.weights), mod.spec.PauseGrace))
	}
	return s
}
