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

// drainedDomain is the failure domain that these rows drain.
const drainedDomain = "fd-a"

// withGroups returns a scenario that runs act once all groups serve.
func withGroups(o options, act func(r *run) error) prove.Scenario {
	o.engines = 8
	return prove.InVirtualTime(func(seed uint64) error {
		b := newTestbed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		r := &run{bed: b, observer: newObserver(b), operator: newOperator(b, "op1")}
		defer r.operator.close()
		r.operator.publish(1)
		err := b.await("four serving groups at every gate", func() bool { return r.minServingGroups() == 4 })
		if err == nil {
			err = act(r)
		}
		if watched := r.observer.end(); watched != nil {
			return watched
		}
		return err
	})
}

// minServingGroups returns the lowest number of usable groups among all gates.
func (r *run) minServingGroups() int {
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

// usable reports whether a gate gives a group new work.
func usable(g view.Group) bool { return g.State == view.StateServing && !g.Draining }

// runDuring runs act while a fault is injected, and waits for both.
func (r *run) runDuring(inject fault, act func() error) error {
	faultErr := make(chan error, 1)
	go func() { faultErr <- inject(r) }()
	acted := act()
	if err := <-faultErr; err != nil {
		return err
	}
	return acted
}

// drainDuring drains and restores a failure domain while a fault is injected.
func drainDuring(inject fault) func(r *run) error {
	return func(r *run) error {
		err := r.runDuring(inject, func() error {
			for i := range rounds {
				time.Sleep(r.bed.randomDuration(100*time.Millisecond, 900*time.Millisecond))
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

// awaitGroups waits until all groups are usable at every gate.
func (r *run) awaitGroups(when string) error {
	err := r.bed.await("four serving groups "+when, func() bool { return r.minServingGroups() == 4 })
	if err == nil {
		return nil
	}
	return eris.Wrap(err, r.describeGates())
}

// describeGates describes the groups in each gate's view.
func (r *run) describeGates() string {
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

// drainOnce drains the domain for twice drainTime and restores it.
func (r *run) drainOnce(i int) error {
	known := len(r.operator.accepted)
	r.operator.drain(fmt.Sprintf("drain-%d", i), drainedDomain, api.MethodDrain)
	if len(r.operator.accepted) == known {
		return eris.New("the drain of the failure domain was not accepted")
	}
	over := time.Now().Add(2 * drainTime)
	r.observer.require(requirement{
		what: "the drain of " + drainedDomain,
		from: time.Now().Add(drainTime),
		met: func(v *view.View) bool {
			return time.Now().After(over) || !domainHasWork(v, drainedDomain)
		},
	})
	time.Sleep(time.Until(over))
	r.operator.drain(fmt.Sprintf("restore-%d", i), drainedDomain, api.MethodRestore)
	return nil
}

// domainHasWork reports whether a view gives new work to a host of a failure domain.
func domainHasWork(v *view.View, domain string) bool {
	for _, e := range v.Groups.Entries {
		if e.Value.FailureDomain == domain && usable(e.Value) {
			return true
		}
	}
	return false
}

// leaveDuring makes an engine announce that it leaves while a fault is injected.
func leaveDuring(inject fault) func(r *run) error {
	return func(r *run) error {
		return r.runDuring(inject, func() error { return r.announceLeaving() })
	}
}

// announceLeaving makes a random engine announce that it leaves.
func (r *run) announceLeaving() error {
	leaving := r.bed.engines[r.bed.intN(len(r.bed.engines))]
	leaving.announceLeaving()
	r.observer.require(requirement{
		what: "the departure of " + string(leaving.name),
		from: time.Now().Add(drainTime),
		met:  func(v *view.View) bool { return !hostHasWork(v, leaving.name) },
	})
	time.Sleep(3 * drainTime)
	return nil
}

// hostHasWork reports whether a view gives a host new work.
func hostHasWork(v *view.View, host view.HostName) bool {
	for _, e := range v.Groups.Entries {
		for _, m := range e.Value.Members {
			if m.Host == host && usable(e.Value) {
				return true
			}
		}
	}
	return false
}

// restartEnginesDuring kills and restarts engines while a fault is injected.
func restartEnginesDuring(inject fault) func(r *run) error {
	return func(r *run) error {
		err := r.runDuring(inject, func() error {
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
