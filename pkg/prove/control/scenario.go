package control

import (
	"time"

	"github.com/rotisserie/eris"

	api "github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// run is a scenario on a started testbed.
type run struct {
	bed      *testbed
	observer *observer
	operator *operator
}

// fault injects a row's fault while changes are published.
type fault func(r *run) error

// minAccepted is the number of accepted changes that a meaningful check needs.
const minAccepted = 5

// changes returns a scenario in which an operator publishes continuously while a fault
// is injected. The gates in undisturbed must take work all the time.
func changes(o options, inject fault, undisturbed ...view.GateName) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		b := newTestbed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		r := &run{bed: b, observer: newObserver(b), operator: newOperator(b, "op1")}
		defer r.operator.close()
		quit, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			r.publishUntil(quit)
		}()
		faultErr := inject(r)
		if faultErr == nil {
			faultErr = r.recover()
		}
		close(quit)
		<-done
		time.Sleep(settleTime)
		watched := r.observer.end()
		switch {
		case faultErr != nil:
			return faultErr
		case watched != nil:
			return watched
		}
		return r.check(undisturbed)
	})
}

// publishUntil publishes changes one after the other and asks, after every second one,
// whether it is in force everywhere.
func (r *run) publishUntil(quit <-chan struct{}) {
	for weight := 1; ; weight++ {
		select {
		case <-quit:
			return
		case <-time.After(300 * time.Millisecond):
		}
		known := len(r.operator.accepted)
		r.operator.publish(weight)
		if len(r.operator.accepted) == known {
			continue
		}
		a := r.operator.accepted[known]
		r.observer.require(requirement{
			what: "change " + a.changeID,
			from: a.at.Add(inForceTime),
			met:  func(v *view.View) bool { return v.Revision >= a.result.ViewRevision },
		})
		if weight%2 == 0 {
			r.checkWait(a)
		}
	}
}

// checkWait asks whether a change is in force everywhere. If so, every gate that takes
// work must have it.
func (r *run) checkWait(a accepted) {
	var out api.WaitResult
	req := api.WaitRequest{ViewRevision: a.result.ViewRevision, TimeoutMS: 600}
	if err := r.operator.call(api.MethodWait, req, &out); err != nil || !out.InForce {
		return
	}
	for _, g := range r.bed.gates {
		if g.takesWork() && g.inForce().Revision < a.result.ViewRevision {
			r.observer.mu.Lock()
			r.observer.fail(eris.Errorf("change %s was reported in force everywhere, but gate %s has revision %d instead of %d",
				a.changeID, g.name, g.inForce().Revision, a.result.ViewRevision))
			r.observer.mu.Unlock()
		}
	}
}

// recover heals the network and restarts killed keepers.
func (r *run) recover() error {
	r.bed.net.HealAll()
	for _, k := range r.bed.keepers {
		if k.up() {
			continue
		}
		if err := k.restart(); err != nil {
			return err
		}
	}
	return nil
}

// check compares the outcomes that operators received with the final state.
func (r *run) check(undisturbed []view.GateName) error {
	if n := len(r.operator.accepted); n < minAccepted {
		return eris.Errorf("only %d changes were accepted, too few to check", n)
	}
	history, err := r.operator.history()
	if err != nil {
		return err
	}
	if err := checkHistory(r.operator.accepted, history); err != nil {
		return err
	}
	for _, g := range undisturbed {
		if d := r.observer.lapsed(g); d > 0 {
			return eris.Errorf("gate %s took no work for %v", g, d)
		}
	}
	return r.checkConverged(history)
}

// checkHistory fails if an accepted change is missing, is listed twice or has other
// revisions than its operator was told.
func checkHistory(known []accepted, history []api.Change) error {
	byID := make(map[string]api.Change)
	revisions := make(map[uint64]string)
	for _, c := range history {
		if _, twice := byID[c.ChangeID]; twice {
			return eris.Errorf("change %s is in the history twice", c.ChangeID)
		}
		byID[c.ChangeID] = c
		if other, taken := revisions[c.ObjectRevision]; taken && c.Kind == "apply" {
			return eris.Errorf("changes %s and %s both have object revision %d", other, c.ChangeID, c.ObjectRevision)
		}
		if c.Kind == "apply" {
			revisions[c.ObjectRevision] = c.ChangeID
		}
	}
	for _, a := range known {
		c, ok := byID[a.changeID]
		if !ok {
			return eris.Errorf("accepted change %s is missing from the history", a.changeID)
		}
		if c.ObjectRevision != a.result.ObjectRevision || c.ViewRevision != a.result.ViewRevision {
			return eris.Errorf("change %s was accepted as %+v, but is in the history as %+v", a.changeID, a.result, c)
		}
	}
	return nil
}

// checkConverged fails unless every gate takes work with the newest set in force.
func (r *run) checkConverged(history []api.Change) error {
	var objects api.GetResult
	if err := r.operator.call(api.MethodGet, api.GetRequest{}, &objects); err != nil {
		return err
	}
	if len(history) == 0 || history[0].ObjectRevision != objects.ObjectRevision {
		return eris.Errorf("the newest change in the history does not have the revision %d of the objects in force", objects.ObjectRevision)
	}
	for _, g := range r.bed.gates {
		if !g.takesWork() {
			return eris.Errorf("gate %s takes no work after recovery", g.name)
		}
		if got := g.inForce().Revision; got < history[0].ViewRevision {
			return eris.Errorf("gate %s has revision %d in force, but the newest change has %d", g.name, got, history[0].ViewRevision)
		}
		if a, b := weightOf(g.inForce()), weightOf(r.bed.gates[0].inForce()); a != b {
			return eris.Errorf("gate %s has weight %d, but gate %s has %d", g.name, a, r.bed.gates[0].name, b)
		}
	}
	return nil
}
