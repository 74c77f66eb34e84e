package control

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// inForceTime is the time within which an accepted change is in force on
	// a gate, or that gate takes no new work.
	inForceTime = 3 * time.Second
	// drainTime is the same for work on a drained failure domain or leaving
	// upstream.
	drainTime = 4 * time.Second
	// lookInterval is the time between two looks at the gates.
	lookInterval = 10 * time.Millisecond
)

// duty is something that every gate which takes work must have in force from a
// moment on.
type duty struct {
	what string
	from time.Time
	met  func(v *view.View) bool
}

// observer looks at all gates all the time and keeps what it saw broken.
type observer struct {
	bed *bed

	mu     sync.Mutex
	duties []duty
	err    error
	lapses map[view.GateName]int // looks at which a gate took no work
	quit   chan struct{}
	done   chan struct{}
}

func newObserver(b *bed) *observer {
	o := &observer{bed: b, lapses: make(map[view.GateName]int), quit: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// require adds a duty.
func (o *observer) require(d duty) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.duties = append(o.duties, d)
}

func (o *observer) run() {
	defer close(o.done)
	tick := time.NewTicker(lookInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.quit:
			return
		case <-tick.C:
			o.look()
		}
	}
}

func (o *observer) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	roles := make(map[view.HostName]role)
	for _, g := range o.bed.gates {
		if err := g.err(); err != nil {
			o.fail(err)
		}
		if !g.takesWork() {
			o.lapses[g.name]++
			continue
		}
		v := g.inForce()
		for _, d := range o.duties {
			if now.After(d.from) && !d.met(v) {
				o.fail(eris.Errorf("%v after the start gate %s takes work at revision %d without %s",
					now.Sub(o.bed.started), g.name, v.Revision, d.what))
			}
		}
		o.checkRoles(roles, v)
	}
}

// role is what a gate believes of one host.
type role struct {
	group view.GroupID
	epoch view.Epoch
}

// checkRoles fails if a host serves in two groups, or in two formations of
// one, in the eyes of the gates that take work.
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

// end stops looking and returns what was broken first.
func (o *observer) end() error {
	close(o.quit)
	<-o.done
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// lapsed tells for how long a gate took no work.
func (o *observer) lapsed(g view.GateName) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.lapses[g]) * lookInterval
}
