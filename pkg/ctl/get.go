package ctl

import (
	"io"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// getCommand prints objects.
type getCommand struct {
	Revision uint64 `arg:"" optional:"" help:"Object revision; the one in force if not given."`
}

// Help implements kong.HelpProvider.
func (*getCommand) Help() string {
	return `The text starts with a comment that holds its revision, which apply uses as the base
of the edit.

Examples:
  sesamectl get > objects.ini
  sesamectl get 7`
}

// Run implements the command.
func (g *getCommand) Run(s *session) error {
	result, err := s.fetchObjects(g.Revision)
	if err != nil {
		return err
	}
	return s.print(result, func(w io.Writer) {
		_, _ = io.WriteString(w, markRevision(result.ObjectRevision, result.Text))
	})
}

// fetchObjects requests the objects of a revision; 0 means those in force.
func (s *session) fetchObjects(revision uint64) (control.GetResult, error) {
	var result control.GetResult
	err := s.read(control.MethodGet, control.GetRequest{ObjectRevision: revision}, &result)
	return result, err
}
