package objects

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// options switch the mechanisms under proof off.
type options struct {
	unchecked bool // publish without the check of the whole set
	anyBase   bool // take the current revision as every change's base
	freshIDs  bool // resend under new change IDs
}

// desk takes operators' sets as a keeper does: check, then one command of the
// replicated state.
type desk struct {
	options options
	state   *state.State
	random  *rand.Rand
	ids     int
	highest view.Revision
}

func newDesk(seed uint64, o options) *desk {
	return &desk{options: o, state: state.New(), random: rand.New(rand.NewPCG(seed, 10))}
}

// submission is one operator's change.
type submission struct {
	id   string
	base uint64
	text string
}

// edit begins a change of what is in force.
func (d *desk) edit(text string) submission {
	d.ids++
	return submission{id: fmt.Sprint("c-", d.ids), base: d.state.Objects().Revision, text: text}
}

// submit checks a set and publishes it whole or not at all.
func (d *desk) submit(s submission) (state.ChangeOutcome, []object.Problem, error) {
	set, problems := object.Load("objects.ini", []byte(s.text))
	if len(problems) > 0 && !d.options.unchecked {
		return state.ChangeOutcome{}, problems, nil
	}
	base := s.base
	if d.options.anyBase {
		base = d.state.Objects().Revision
	}
	r := d.state.Apply(state.Command{Publish: &state.Publish{
		ChangeID: s.id, BaseRevision: base, Set: set, Digest: object.Format(set),
	}})
	return *r.Change, problems, d.rises(r.Revision)
}

// resend sends a change again, as after a lost reply.
func (d *desk) resend(s submission) (state.ChangeOutcome, error) {
	if d.options.freshIDs {
		s = d.edit(s.text)
	}
	out, _, err := d.submit(s)
	return out, err
}

// rises checks that the view revision never steps back.
func (d *desk) rises(r view.Revision) error {
	if r < d.highest {
		return eris.Wrapf(errSteppedBack, "from %d to %d", d.highest, r)
	}
	d.highest = r
	return nil
}

// publish submits a set that is in order and must be accepted.
func (d *desk) publish(set object.Set) (submission, state.ChangeOutcome, error) {
	s := d.edit(object.Format(set))
	out, problems, err := d.submit(s)
	if err != nil {
		return s, out, err
	}
	if len(problems) > 0 {
		return s, out, eris.Wrap(errRefusedGood, problems[0].Error())
	}
	if out.Status != state.ChangeAccepted {
		return s, out, eris.Wrap(errRefusedGood, out.Message)
	}
	return s, out, d.inForce(set)
}

// inForce checks which set is in force.
func (d *desk) inForce(set object.Set) error {
	if diff := object.Diff(d.state.Objects().Set, set); len(diff) > 0 {
		return eris.Wrap(errNotTheSet, diff[0].String())
	}
	return nil
}

// restart moves the state to a new process by way of a snapshot.
func (d *desk) restart() error {
	snapshot, err := d.state.Snapshot()
	if err != nil {
		return err
	}
	next := state.New()
	if err := next.Restore(snapshot); err != nil {
		return err
	}
	d.state = next
	return d.rises(next.Revision())
}

// unchanged runs f and checks that the state did not change.
func (d *desk) unchanged(f func() error) error {
	before, err := d.state.Snapshot()
	if err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	after, err := d.state.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(before, after) {
		return errPublished
	}
	return nil
}
