package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// account sums up what was lost over time.
type account struct {
	Down        [causes]int64 // group-nanoseconds by cause
	Stranded    int64         // host-nanoseconds of hosts that could work outside working groups
	LoadsDone   uint64
	LoadsWasted uint64
}

// advance lets time pass up to now and accounts for it.
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
		m.account.addDown(mod, past)
	}
	m.account.Stranded += int64(m.present-m.busy) * past
}

// addDown attributes missing copies of a model to causes.
func (a *account) addDown(mod *model, past int64) {
	missing := mod.want.Copies - mod.tally.taking
	for c := Cause(0); c < CauseUnplaced && missing > 0; c++ {
		n := min(missing, mod.tally.down[c])
		a.Down[c] += int64(n) * past
		missing -= n
	}
	if missing > 0 {
		a.Down[CauseUnplaced] += int64(missing) * past
	}
}

// CauseDowntime is the time that wanted groups took no work for one cause.
type CauseDowntime struct {
	Cause Cause
	Time  time.Duration // summed over groups
}

// Stats tells how groups fare.
type Stats struct {
	Downtime        []CauseDowntime // since the start, by cause
	DowntimeTotal   time.Duration   // sum of Down
	Wanted          int             // groups wanted now
	TakingWork      int             // groups that take work now
	Stranded        int             // hosts that could work and are outside working groups now
	StrandedTime    time.Duration   // summed over hosts since the start
	LoadsDone       uint64          // loads of one member's weights since the start
	LoadsWasted     uint64          // loads begun that served nothing
	LoadsRunning    int             // members that may fetch now
	LoadsWaiting    int             // members held back now
	Spares          int             // free hosts that have weights in memory now
	OrdersDue       int
	Epoch           view.Epoch    // highest fencing number given
	RolloutsBlocked []string      // model groups that can't go on without going under their minimum
	Grace           time.Duration // wait for a silent member as learned, before the model's bound
}

// Stats gives the figures as of the last step.
func (m *Machine) Stats() Stats {
	s := Stats{
		Stranded:     m.present - m.busy,
		StrandedTime: time.Duration(m.account.Stranded),
		LoadsDone:    m.account.LoadsDone,
		LoadsWasted:  m.account.LoadsWasted,
		LoadsRunning: len(m.running),
		OrdersDue:    len(m.unsettled),
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
	for _, n := range m.waiting {
		s.LoadsWaiting += n
	}
	for _, mod := range m.sortedModels() {
		s.Wanted += mod.want.Copies
		s.TakingWork += mod.tally.taking
		if mod.blocked && mod.tally.retarget == 0 && mod.tally.taking <= mod.want.Minimum {
			s.RolloutsBlocked = append(s.RolloutsBlocked, mod.want.Name)
		}
		s.Grace = max(s.Grace, m.returns.GracePeriod(m.opts.loadTime(mod.weights), mod.want.PauseGrace))
	}
	return s
}
