package objects

import (
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// rounds is the number of times that a scenario repeats its fault.
const rounds = 20

// step is the moment at which an invalid set arrives.
type step struct {
	name    string
	prepare func(d *deployment) error // brings the deployment to the step
}

// steps holds the moments at which an invalid set may arrive.
var steps = []step{
	{"as the first set", func(*deployment) error { return nil }},
	{"over a set in force", func(d *deployment) error {
		_, _, err := d.publish(randomSet(d.random))
		return err
	}},
	{"after a restart", func(d *deployment) error {
		if _, _, err := d.publish(randomSet(d.random)); err != nil {
			return err
		}
		return d.restart()
	}},
}

// invalidSet repeatedly submits a set with a fault. Each time nothing is published and
// every problem has a position. Afterwards a valid set is still accepted.
func invalidSet(f fault, s step, o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDeployment(seed, o)
		if err := s.prepare(d); err != nil {
			return err
		}
		for range rounds {
			text := f.corrupt(d.random, randomSet(d.random))
			if err := d.checkUnchanged(func() error { return d.checkRefused(text) }); err != nil {
				return eris.Wrap(err, f.name)
			}
		}
		_, _, err := d.publish(randomSet(d.random))
		return err
	}
}

// checkRefused submits a text that must be refused.
func (d *deployment) checkRefused(text string) error {
	_, problems, err := d.submit(d.newChange(text))
	if err != nil {
		return err
	}
	if len(problems) == 0 {
		return errPublished
	}
	for _, p := range problems {
		if p.File == "" || p.Line == 0 || p.Object == "" || p.Message == "" {
			return eris.Wrap(errNoPosition, p.Error())
		}
	}
	return nil
}

// race lets operators submit changes based on the same revision, in random order. The
// first is accepted and stays in force.
func race(o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDeployment(seed, o)
		for range rounds {
			sets := []object.Set{randomSet(d.random), randomSet(d.random), randomSet(d.random)}
			var changes []submission
			for _, s := range sets {
				changes = append(changes, d.newChange(object.Format(s)))
			}
			order := d.random.Perm(len(changes))
			for _, i := range order {
				if _, _, err := d.submit(changes[i]); err != nil {
					return err
				}
			}
			if err := d.checkInForce(sets[order[0]]); err != nil {
				return eris.Wrap(errLostChange, err.Error())
			}
		}
		return nil
	}
}

// lostReply resends accepted changes after other changes and restarts. Each gets its
// first outcome and changes nothing.
func lostReply(o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDeployment(seed, o)
		for range rounds {
			change, first, err := d.publish(randomSet(d.random))
			if err != nil {
				return err
			}
			later := randomSet(d.random)
			if _, _, err := d.publish(later); err != nil {
				return err
			}
			if d.random.IntN(2) == 0 {
				if err := d.restart(); err != nil {
					return err
				}
			}
			again, err := d.resend(change)
			if err != nil {
				return err
			}
			if d.checkInForce(later) != nil {
				return errAppliedTwice
			}
			if again.Status != state.ChangeResent || again.ObjectRevision != first.ObjectRevision || again.ViewRevision != first.ViewRevision {
				return errWrongOutcome
			}
		}
		return nil
	}
}

// reusedID submits other content under the ID of an accepted change.
func reusedID(seed uint64) error {
	d := newDeployment(seed, options{})
	change, _, err := d.publish(randomSet(d.random))
	if err != nil {
		return err
	}
	for range rounds {
		other := d.newChange(object.Format(randomSet(d.random)))
		other.id = change.id
		if other.text == change.text {
			continue
		}
		err := d.checkUnchanged(func() error {
			out, _, err := d.submit(other)
			if err == nil && out.Status != state.ChangeReused {
				return errWrongOutcome
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// rollbackDepth is less than the number of sets that the state keeps for rollbacks.
const rollbackDepth = 16

// rollback puts earlier sets in force again, each as a new revision.
func rollback(seed uint64) error {
	d := newDeployment(seed, options{})
	var sets []object.Set
	for range rounds {
		s := randomSet(d.random)
		if _, _, err := d.publish(s); err != nil {
			return err
		}
		sets = append(sets, s)
	}
	for range rounds {
		to := len(sets) - 1 - d.random.IntN(rollbackDepth)
		before := d.state.Objects().Revision
		id := d.newChange("").id
		r := d.state.Apply(state.Command{Rollback: &state.Rollback{ChangeID: id, BaseRevision: before, To: uint64(to + 1), Digest: id}})
		if err := d.checkRevision(r.Revision); err != nil {
			return err
		}
		if r.Change.Status != state.ChangeAccepted || r.Change.ObjectRevision != before+1 {
			return eris.Wrap(errRevisionDecreased, r.Change.Message)
		}
		if err := d.checkInForce(sets[to]); err != nil {
			return err
		}
		sets = append(sets, sets[to])
	}
	return nil
}
