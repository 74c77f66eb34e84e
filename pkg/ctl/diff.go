package ctl

import (
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// diffCommand compares sets of objects.
type diffCommand struct {
	File string `arg:"" optional:"" predictor:"file" help:"File to compare with the objects in force."`
	From uint64 `placeholder:"N" help:"Object revision to compare from; in force if not given."`
	To   uint64 `placeholder:"N" help:"Object revision to compare to instead of a file; in force if not given."`
}

// Help implements kong.HelpProvider.
func (*diffCommand) Help() string {
	return `Examples:
  sesamectl diff objects.ini     # what apply would change
  sesamectl diff --from 7        # what changed since revision 7
  sesamectl diff --from 7 --to 9`
}

// Run implements the command.
func (d *diffCommand) Run(s *session) error {
	before, err := s.fetchSet(d.From)
	if err != nil {
		return err
	}
	after, err := d.after(s)
	if err != nil {
		return err
	}
	list := object.Diff(before, after)
	if list == nil {
		list = []object.Difference{}
	}
	return s.print(list, func(w io.Writer) {
		for _, difference := range list {
			printLine(w, "%s", difference)
		}
		if len(list) == 0 {
			printLine(w, "no differences")
		}
	})
}

func (d *diffCommand) after(s *session) (object.Set, error) {
	if d.File == "" {
		return s.fetchSet(d.To)
	}
	f, err := readSet(d.File)
	return f.set, err
}

// fetchSet requests the objects of a revision and parses them.
func (s *session) fetchSet(revision uint64) (object.Set, error) {
	result, err := s.fetchObjects(revision)
	if err != nil {
		return object.Set{}, err
	}
	set, problems := object.Parse(fmt.Sprintf("revision %d", result.ObjectRevision), []byte(result.Text))
	if len(problems) > 0 {
		f := problemsFailure(problems)
		f.Message = "the server's objects could not be parsed"
		f.Hint = "the server may be of a newer version than " + programName
		return set, f
	}
	return set, nil
}
