package objects

import (
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// rounds is how often a scenario repeats its fault.
const rounds = 20

// step is when a bad set arrives.
type step struct {
	name  string
	first func(d *desk) error // what happened before
}

// steps are the moments at which a bad set may arrive.
var steps = []step{
	{"as the first set", func(*desk) error { return nil }},
	{"over a set in force", func(d *desk) error {
		_, _, err := d.publish(drawSet(d.random))
		return err
	}},
	{"after a restart", func(d *desk) error {
		if _, _, err := d.publish(drawSet(d.random)); err != nil {
			return err
		}
		return d.restart()
	}},
}

// badSet submits a set with a fault, again and again: each time nothing is
// published, every problem says where, and a set in order is still accepted.
func badSet(f fault, s step, o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDesk(seed, o)
		if err := s.first(d); err != nil {
			return err
		}
		for range rounds {
			text := f.spoil(d.random, drawSet(d.random))
			if err := d.unchanged(func() error { return d.refused(text) }); err != nil {
				return eris.Wrap(err, f.name)
			}
		}
		_, _, err := d.publish(drawSet(d.random))
		return err
	}
}

// refused submits a text that must be refused.
func (d *desk) refused(text string) error {
	_, problems, err := d.submit(d.edit(text))
	if err != nil {
		return err
	}
	if len(problems) == 0 {
		return errPublished
	}
	for _, p := range problems {
		if p.File == "" || p.Line == 0 || p.Object == "" || p.Message == "" {
			return eris.Wrap(errNoPlace, p.Error())
		}
	}
	return nil
}

// race lets operators submit changes that started from one revision, in a
// drawn order: the first wins, and what it put in force stays.
func race(o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDesk(seed, o)
		for range rounds {
			sets := []object.Set{drawSet(d.random), drawSet(d.random), drawSet(d.random)}
			var changes []submission
			for _, s := range sets {
				changes = append(changes, d.edit(object.Format(s)))
			}
			order := d.random.Perm(len(changes))
			for _, i := range order {
				if _, _, err := d.submit(changes[i]); err != nil {
					return err
				}
			}
			if err := d.inForce(sets[order[0]]); err != nil {
				return eris.Wrap(errLostChange, err.Error())
			}
		}
		return nil
	}
}

// lostReply resends accepted changes, after other changes and restarts: each
// gets its first answer and changes nothing.
func lostReply(o options) func(uint64) error {
	return func(seed uint64) error {
		d := newDesk(seed, o)
		for range rounds {
			change, first, err := d.publish(drawSet(d.random))
			if err != nil {
				return err
			}
			later := drawSet(d.random)
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
			if d.inForce(later) != nil {
				return errRanTwice
			}
			if again.Status != state.ChangeResent || again.ObjectRevision != first.ObjectRevision || again.ViewRevision != first.ViewRevision {
				return errWrongAnswer
			}
		}
		return nil
	}
}

// reusedID sends other content under the ID of an accepted change.
func reusedID(seed uint64) error {
	d := newDesk(seed, options{})
	change, _, err := d.publish(drawSet(d.random))
	if err != nil {
		return err
	}
	for range rounds {
		other := d.edit(object.Format(drawSet(d.random)))
		other.id = change.id
		if other.text == change.text {
			continue
		}
		err := d.unchanged(func() error {
			out, _, err := d.submit(other)
			if err == nil && out.Status != state.ChangeReused {
				return errWrongAnswer
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// keptSets is less than the sets that the state keeps for a rollback.
const keptSets = 16

// rollback puts earlier sets in force again: always as a higher revision.
func rollback(seed uint64) error {
	d := newDesk(seed, options{})
	var sets []object.Set
	for range rounds {
		s := drawSet(d.random)
		if _, _, err := d.publish(s); err != nil {
			return err
		}
		sets = append(sets, s)
	}
	for range rounds {
		to := len(sets) - 1 - d.random.IntN(keptSets)
		before := d.state.Objects().Revision
		id := d.edit("").id
		r := d.state.Apply(state.Command{Rollback: &state.Rollback{ChangeID: id, BaseRevision: before, To: uint64(to + 1), Digest: id}})
		if err := d.rises(r.Revision); err != nil {
			return err
		}
		if r.Change.Status != state.ChangeAccepted || r.Change.ObjectRevision != before+1 {
			return eris.Wrap(errSteppedBack, r.Change.Message)
		}
		if err := d.inForce(sets[to]); err != nil {
			return err
		}
		sets = append(sets, sets[to])
	}
	return nil
}
