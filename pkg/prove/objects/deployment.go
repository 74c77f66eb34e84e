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

// options switches the tested mechanisms off.
type options struct {
	skipValidation bool // publish without validating the set
	ignoreBase     bool // replace each change's base by the current revision
	newIDs         bool // resend changes under new change IDs
}

// deployment handles operators' sets as a keeper does: it validates a set and
// publishes it by one command of the replicated state.
type deployment struct {
	options options
	state   *state.State
	random  *rand.Rand
	ids     int
	highest view.Revision
}

func newDeployment(seed uint64, o options) *deployment {
	return &deployment{options: o, state: state.New(), random: rand.New(rand.NewPCG(seed, 10))}
}

// submission is an operator's change.
type submission struct {
	id   string
	base uint64
	text string
}

// newChange returns a change based on the objects in force.
func (d *deployment) newChange(text string) submission {
	d.ids++
	return submission{id: fmt.Sprint("c-", d.ids), base: d.state.Objects().Revision, text: text}
}

// submit validates a set and publishes all of it or nothing.
func (d *deployment) submit(s submission) (state.ChangeOutcome, []object.Problem, error) {
	set, problems := object.Load("objects.ini", []byte(s.text))
	if len(problems) > 0 && !d.options.skipValidation {
		return state.ChangeOutcome{}, problems, nil
	}
	base := s.base
	if d.options.ignoreBase {
		base = d.state.Objects().Revision
	}
	r := d.state.Apply(state.Command{Publish: &state.Publish{
		ChangeID: s.id, BaseRevision: base, Set: set, Digest: object.Format(set),
	}})
	return *r.Change, problems, d.checkRevision(r.Revision)
}

// resend sends a change again, as an operator does after a lost reply.
func (d *deployment) resend(s submission) (state.ChangeOutcome, error) {
	if d.options.newIDs {
		s = d.newChange(s.text)
	}
	out, _, err := d.submit(s)
	return out, err
}

// checkRevision checks that the view revision does not decrease.
func (d *deployment) checkRevision(r view.Revision) error {
	if r < d.highest {
		return eris.Wrapf(errRevisionDecreased, "from %d to %d", d.highest, r)
	}
	d.highest = r
	return nil
}

// publish submits a valid set, which must be accepted.
func (d *deployment) publish(set object.Set) (submission, state.ChangeOutcome, error) {
	s := d.newChange(object.Format(set))
	out, problems, err := d.submit(s)
	if err != nil {
		return s, out, err
	}
	if len(problems) > 0 {
		return s, out, eris.Wrap(errValidRefused, problems[0].Error())
	}
	if out.Status != state.ChangeAccepted {
		return s, out, eris.Wrap(errValidRefused, out.Message)
	}
	return s, out, d.checkInForce(set)
}

// checkInForce checks that a set is in force.
func (d *deployment) checkInForce(set object.Set) error {
	if diff := object.Diff(d.state.Objects().Set, set); len(diff) > 0 {
		return eris.Wrap(errOtherSetInForce, diff[0].String())
	}
	return nil
}

// restart transfers the state to a new process by a snapshot.
func (d *deployment) restart() error {
	snapshot, err := d.state.Snapshot()
	if err != nil {
		return err
	}
	next := state.New()
	if err := next.Restore(snapshot); err != nil {
		return err
	}
	d.state = next
	return d.checkRevision(next.Revision())
}

// checkUnchanged runs f and checks that the state did not change.
func (d *deployment) checkUnchanged(f func() error) error {
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
