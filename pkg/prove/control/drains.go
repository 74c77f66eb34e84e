package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	api "github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// drainedDomain is taken out by the operators of these rows.
const drainedDomain = "fd-a"

// withGroups returns a scenario that goes on when all groups serve.
func withGroups(o options, act func(r *run) error) prove.Scenario {
	o.engines = 8
	return prove.InVirtualTime(func(seed uint64) error {
		b := newBed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		r := &run{bed: b, observer: newObserver(b), operator: newOperator(b, "op1")}
		defer r.operator.close()
		r.operator.publish(1)
		err := b.await("four serving groups at every gate", func() bool { return r.serving() == 4 })
		if err == nil {
			err = act(r)
		}
		if watched := r.observer.end(); watched != nil {
			return watched
		}
		return err
	})
}

// serving returns the least number of groups that any gate may use.
func (r *run) serving() int {
	least := len(r.bed.engines)
	for _, g := range r.bed.gates {
		n := 0
		for _, e := range g.inForce().Groups.Entries {
			if usable(e.Value) {
				n++
			}
		}
		least = min(least, n)
	}
	return least
}

// usable tells whether a gate gives a group new work.
func usable(g view.Group) bool { return g.State == view.StateServing && !g.Draining }

// during acts while a fault strikes, and waits for both.
func (r *run) during(strike fault, act func() error) error {
	struck := make(chan error, 1)
	go func() { struck <- strike(r) }()
	acted := act()
	if err := <-struck; err != nil {
		return err
	}
	return acted
}

// drainUnder drains a failure domain while a fault strikes, and restores it.
func drainUnder(strike fault) func(r *run) error {
	return func(r *run) error {
		err := r.during(strike, func() error {
			for i := range rounds {
				time.Sleep(r.bed.between(100*time.Millisecond, 900*time.Millisecond))
				if err := r.drainOnce(i); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		if err := r.recover(); err != nil {
			return err
		}
		return r.awaitGroups("after the return")
	}
}

// awaitGroups waits until every gate may use all groups.
func (r *run) awaitGroups(when string) error {
	err := r.bed.await("four serving groups "+when, func() bool { return r.serving() == 4 })
	if err == nil {
		return nil
	}
	return eris.Wrap(err, r.describe())
}

// describe tells what each gate may use.
func (r *run) describe() string {
	var out strings.Builder
	for _, g := range r.bed.gates {
		v := g.inForce()
		fmt.Fprintf(&out, "gate %s at revision %d takes work %v:", g.name, v.Revision, g.takesWork())
		for _, id := range v.Groups.Keys() {
			group, _ := v.Groups.Get(id)
			fmt.Fprintf(&out, " %s %s draining=%v epoch %d;", id, group.State, group.Draining, group.Epoch)
		}
	}
	return out.String()
}

// drainOnce takes the domain out for longer than drainTime, and back in.
func (r *run) drainOnce(i int) error {
	known := len(r.operator.accepted)
	r.operator.drain(fmt.Sprintf("drain-%d", i), drainedDomain, api.MethodDrain)
	if len(r.operator.accepted) == known {
		return eris.New("the drain was not accepted")
	}
	over := time.Now().Add(2 * drainTime)
	r.observer.require(duty{
		what: "the drain of " + drainedDomain,
		from: time.Now().Add(drainTime),
		met: func(v *view.View) bool {
			return time.Now().After(over) || !worksIn(v, drainedDomain)
		},
	})
	time.Sleep(time.Until(over))
	r.operator.drain(fmt.Sprintf("restore-%d", i), drainedDomain, api.MethodRestore)
	return nil
}

// worksIn tells whether a view gives any host of a failure domain new work.
func worksIn(v *view.View, domain string) bool {
	for _, e := range v.Groups.Entries {
		if e.Value.FailureDomain == domain && usable(e.Value) {
			return true
		}
	}
	return false
}

// leaveUnder lets an engine announce that it leaves while a fault strikes.
func leaveUnder(strike fault) func(r *run) error {
	return func(r *run) error {
		return r.during(strike, func() error { return r.leave() })
	}
}

// leave lets a random engine announce that it leaves.
func (r *run) leave() error {
	leaving := r.bed.engines[r.bed.intN(len(r.bed.engines))]
	leaving.leave()
	r.observer.require(duty{
		what: "the leaving of " + string(leaving.name),
		from: time.Now().Add(drainTime),
		met:  func(v *view.View) bool { return !worksOn(v, leaving.name) },
	})
	time.Sleep(3 * drainTime)
	return nil
}

// worksOn tells whether a view gives a host new work.
func worksOn(v *view.View, host view.HostName) bool {
	for _, e := range v.Groups.Entries {
		for _, m := range e.Value.Members {
			if m.Host == host && usable(e.Value) {
				return true
			}
		}
	}
	return false
}

// restartEngines kills engines and starts them again while a fault strikes.
func restartEngines(strike fault) func(r *run) error {
	return func(r *run) error {
		err := r.during(strike, func() error {
			for range 2 * rounds {
				e := r.bed.engines[r.bed.intN(len(r.bed.engines))]
				e.kill()
				r.pause()
				e.start()
				r.pause()
			}
			return nil
		})
		if err != nil {
			return err
		}
		if err := r.recover(); err != nil {
			return err
		}
		return r.awaitGroups("after the restarts")
	}
}
