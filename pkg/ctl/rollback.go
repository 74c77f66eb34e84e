package ctl

import "github.com/sesamemux/sesamemux/pkg/control"

// rollbackCommand publishes an earlier set as a new revision.
type rollbackCommand struct {
	To   uint64  `arg:"" help:"Object revision to restore."`
	Base *uint64 `placeholder:"N" help:"Object revision that must be in force; the current one if not given."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*rollbackCommand) Help() string {
	return `The earlier objects become a new revision; the history keeps all revisions.

Examples:
  sesamectl history
  sesamectl rollback --wait 7`
}

// Run implements the command.
func (r *rollbackCommand) Run(s *session) error {
	base, err := r.baseRevision(s)
	if err != nil {
		return err
	}
	id := s.changeID(r.ChangeID)
	request := control.RollbackRequest{ChangeID: id, BaseRevision: base, To: r.To, Operator: s.settings.Operator}
	var result control.ChangeResult
	if err := s.change(control.MethodRollback, id, request, &result); err != nil {
		return err
	}
	return r.finish(s, id, result)
}

func (r *rollbackCommand) baseRevision(s *session) (uint64, error) {
	if r.Base != nil {
		return *r.Base, nil
	}
	if r.ChangeID != "" {
		return 0, &Failure{Code: ExitUsage, Message: "--change-id needs --base with the value of the first attempt", Hint: "the first attempt printed it; a resend must have the same content"}
	}
	current, err := s.fetchObjects(0)
	if err != nil {
		return 0, err
	}
	s.progress("base revision %d", current.ObjectRevision)
	return current.ObjectRevision, nil
}
