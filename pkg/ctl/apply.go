package ctl

import (
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// changeFlags are the flags of commands that make a change.
type changeFlags struct {
	ChangeID string `placeholder:"ID" help:"Resend the change with this ID, whose outcome is unknown."`
	waitFlags
}

// applyCommand publishes a set of objects.
type applyCommand struct {
	File string  `arg:"" predictor:"file" help:"File with the complete set of objects."`
	Base *uint64 `placeholder:"N" help:"Object revision that the edit is based on; if not given, the revision in the file's comment, else 0."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*applyCommand) Help() string {
	return `The set is validated first and published atomically. If another change was accepted
since the edit began, the exit code is 3 and nothing changes.

Examples:
  sesamectl get > objects.ini       # adds a comment with the revision
  sesamectl apply --wait objects.ini
  sesamectl apply --base 12 objects.ini`
}

// Run implements the command.
func (a *applyCommand) Run(s *session) error {
	f, err := readSet(a.File)
	if err != nil {
		return err
	}
	base, _ := f.baseRevision()
	if a.Base != nil {
		base = *a.Base
	}
	id := s.changeID(a.ChangeID)
	request := control.ApplyRequest{
		ChangeID: id, BaseRevision: base, Operator: s.settings.Operator, File: f.name, Text: string(f.text),
	}
	var result control.ChangeResult
	if err := s.change(control.MethodApply, id, request, &result); err != nil {
		return err
	}
	return a.finish(s, id, result)
}

// changeOutput is the output of commands that make a change.
type changeOutput struct {
	ChangeID string `json:"change_id"`
	control.ChangeResult
	InForce bool `json:"in_force"` // reports whether it is known to be in force everywhere
}

// finish waits for an accepted change if requested, and prints it.
func (c *changeFlags) finish(s *session, id string, result control.ChangeResult) error {
	if len(result.Problems) > 0 {
		return problemsFailure(result.Problems)
	}
	var waitErr error
	if c.Wait {
		waitErr = s.waitFor(result.ViewRevision, c.WaitTimeout)
	}
	out := changeOutput{ChangeID: id, ChangeResult: result, InForce: c.Wait && waitErr == nil}
	err := s.print(out, func(w io.Writer) {
		printLine(w, "%s", describeChange(out))
	})
	if waitErr != nil {
		return waitErr
	}
	return err
}

func describeChange(o changeOutput) string {
	text := fmt.Sprintf("accepted as object revision %d, view revision %d", o.ObjectRevision, o.ViewRevision)
	if o.Resent {
		text += " (accepted earlier; this is the original result)"
	}
	if o.InForce {
		return text + "; in force everywhere"
	}
	return text + fmt.Sprintf("; run %s wait %d to wait until it is in force", programName, o.ViewRevision)
}
