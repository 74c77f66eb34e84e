package ctl

import (
	"io"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// getCommand prints objects.
type getCommand struct {
	Revision uint64 `arg:"" optional:"" help:"Object revision; those in force if not given."`
}

// Help implements kong.HelpProvider.
func (*getCommand) Help() string {
	return `The text is marked with its revision, which apply takes as the base of the edit.

Examples:
  sesamectl get > objects.ini
  sesamectl get 7`
}

// Run implements the command.
func (g *getCommand) Run(s *session) error {
	result, err := s.objects(g.Revision)
	if err != nil {
		return err
	}
	return s.print(result, func(w io.Writer) {
		_, _ = io.WriteString(w, markRevision(result.ObjectRevision, result.Text))
	})
}

// objects asks for the objects of a revision, 0 for those in force.
func (s *session) objects(revision uint64) (control.GetResult, error) {
	var result control.GetResult
	err := s.read(control.MethodGet, control.GetRequest{ObjectRevision: revision}, &result)
	return result, err
}
