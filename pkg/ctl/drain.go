package ctl

import (
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// drainTarget identifies what is drained or restored.
type drainTarget struct {
	Kind string `arg:"" enum:"failure-domain,upstream" help:"failure-domain or upstream."`
	Name string `arg:"" help:"Its name."`
	changeFlags
}

// run sends the change and prints its result.
func (d *drainTarget) run(s *session, m control.Method) error {
	id := s.changeID(d.ChangeID)
	request := control.DrainRequest{ChangeID: id, Kind: view.DrainKind(d.Kind), Name: d.Name, Operator: s.settings.Operator}
	var result control.ChangeResult
	if err := s.change(m, id, request, &result); err != nil {
		return err
	}
	return d.finish(s, id, result)
}

// drainCommand takes a failure domain or upstream out of service.
type drainCommand struct{ drainTarget }

// Help implements kong.HelpProvider.
func (*drainCommand) Help() string {
	return `All gates stop sending new work within seconds; running work finishes. With --wait
the command returns once no gate sends new work there.

Examples:
  sesamectl drain --wait failure-domain fd-a
  sesamectl drain upstream engine-7`
}

// Run implements the command.
func (d *drainCommand) Run(s *session) error { return d.run(s, control.MethodDrain) }

// restoreCommand puts a drained failure domain or upstream back into service.
type restoreCommand struct{ drainTarget }

// Help implements kong.HelpProvider.
func (*restoreCommand) Help() string {
	return `The amount of work increases in steps, as the restored upstreams complete requests.

Examples:
  sesamectl restore --wait failure-domain fd-a`
}

// Run implements the command.
func (r *restoreCommand) Run(s *session) error { return r.run(s, control.MethodRestore) }
