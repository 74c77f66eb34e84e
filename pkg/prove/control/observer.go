package control

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// inForceTime is the time after which a gate must have an accepted change in force
	// or take no new work.
	inForceTime = 3 * time.Second
	// drainTime is the time after which no gate may give new work to a drained failure
	// domain or a leaving upstream.
	drainTime = 4 * time.Second
	// observeInterval is the time between two checks of the gates.
	observeInterval = 10 * time.Millisecond
)

// requirement is a condition on the view in force that every gate which takes work
// must meet from a certain time on.
type requirement struct {
	what string
	from time.Time
	met  func(v *view.View) bool
}

// observer checks all gates continuously and records the first violation.
type observer struct {
	bed *testbed

	mu           sync.Mutex
	requirements []requirement
	err          error
	lapsedChecks map[view.GateName]int // number of checks at which a gate took no work
	quit         chan struct{}
	done         chan struct{}
}

func newObserver(b *testbed) *observer {
	o := &observer{bed: b, lapsedChecks: make(map[view.GateName]int), quit: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// require adds a requirement.
func (o *observer) require(d requirement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requirements = append(o.requirements, d)
}

func (o *observer) run() {
	defer close(o.done)
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.quit:
			return
		case <-tick.C:
			o.check()
		}
	}
}

func (o *observer) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	roles := make(map[view.HostName]role)
	for _, g := range o.bed.gates {
		if err := g.err(); err != nil {
			o.fail(err)
		}
		if !g.takesWork() {
			o.lapsedChecks[g.name]++
			continue
		}
		v := g.inForce()
		for _, d := range o.requirements {
			if now.After(d.from) && !d.met(v) {
				o.fail(eris.Errorf("%v after the start, gate %s takes work at revision %d without %s",
					now.Sub(o.bed.started), g.name, v.Revision, d.what))
			}
		}
		o.checkRoles(roles, v)
	}
}

// role is a host's role in a gate's view.
type role struct {
	group view.GroupID
	epoch view.Epoch
}

// checkRoles records a violation if a host serves in two groups, or in two formations
// of one group, according to the views of the gates that take work.
func (o *observer) checkRoles(roles map[view.HostName]role, v *view.View) {
	for _, e := range v.Groups.Entries {
		g := e.Value
		if g.State != view.StateServing {
			continue
		}
		for _, m := range g.Members {
			mine := role{group: g.ID, epoch: g.Epoch}
			if other, ok := roles[m.Host]; ok && other != mine {
				o.fail(eris.Errorf("host %s serves in %v and in %v at the same time", m.Host, other, mine))
			}
			roles[m.Host] = mine
		}
	}
}

func (o *observer) fail(err error) {
	if o.err == nil {
		o.err = err
	}
}

// end stops the checks and returns the first violation.
func (o *observer) end() error {
	close(o.quit)
	<-o.done
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// lapsed returns for how long a gate took no work.
func (o *observer) lapsed(g view.GateName) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.lapsedChecks[g]) * observeInterval
}
