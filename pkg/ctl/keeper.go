package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// keeperCommand groups the commands about keepers.
type keeperCommand struct {
	Status  keeperStatusCommand  `cmd:"" help:"Ask each keeper for its part in the quorum."`
	Replace keeperReplaceCommand `cmd:"" help:"Replace a lost keeper by a new one."`
}

// keeperStatusCommand asks each keeper by itself.
type keeperStatusCommand struct{}

// Help implements kong.HelpProvider.
func (*keeperStatusCommand) Help() string {
	return `Asks the servers of the settings and every keeper that they name; it needs no leader.

Examples:
  sesamectl keeper status`
}

// keeperAnswer is what one keeper said, or why it didn't.
type keeperAnswer struct {
	Address string                `json:"address"`
	Status  *control.KeeperStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

// Run implements the command.
func (*keeperStatusCommand) Run(s *session) error {
	if err := s.online(); err != nil {
		return err
	}
	answers := s.askKeepers()
	err := s.print(answers, func(w io.Writer) { writeKeepers(w, answers) })
	if err == nil && !slices.ContainsFunc(answers, func(a keeperAnswer) bool { return a.Status != nil }) {
		return &Failure{Code: ExitUnavailable, Message: "no keeper answered", Hint: "are the servers right (--servers)?"}
	}
	return err
}

// askKeepers asks the known servers, and those that their answers name. Gates
// name a keeper and are left out.
func (s *session) askKeepers() []keeperAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timeout)
	defer cancel()
	pending := slices.Clone(s.settings.Servers)
	var answers []keeperAnswer
	for i := 0; i < len(pending); i++ {
		a := keeperAnswer{Address: pending[i]}
		var status control.KeeperStatus
		err := s.caller.ask(ctx, a.Address, control.MethodKeeperStatus, struct{}{}, &status)
		if hint, isGate := leaderHint(err); isGate {
			pending = appendNew(pending, hint)
			continue
		}
		if err != nil {
			a.Error = shortError(err)
		} else {
			a.Status = &status
		}
		answers = append(answers, a)
		for _, m := range status.Members {
			pending = appendNew(pending, m.Address)
		}
	}
	return answers
}

func appendNew(list []string, address string) []string {
	if address == "" || slices.Contains(list, address) {
		return list
	}
	return append(list, address)
}

func writeKeepers(w io.Writer, answers []keeperAnswer) {
	t := newTable(w, "ADDRESS\tID\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED")
	for _, a := range answers {
		if a.Status == nil {
			t.row("%s\t-\tsilent\t-\t-\t-\t-", a.Address)
			continue
		}
		k := a.Status
		t.row("%s\t%d\t%s\t%d\t%d\t%d\t%d", a.Address, k.ID, k.Role, k.Leader, k.Term, k.CommitIndex, k.AppliedIndex)
	}
	t.end()
	for _, a := range answers {
		if a.Error != "" {
			say(w, "%s: %s", a.Address, a.Error)
		}
	}
}

// keeperReplaceCommand replaces one keeper.
type keeperReplaceCommand struct {
	Old     uint64 `arg:"" help:"ID of the lost keeper."`
	New     uint64 `arg:"" help:"ID of the new keeper, never used before."`
	Address string `arg:"" help:"IP:port of the new keeper."`

	WaitTimeout time.Duration `default:"2m" help:"Longest time until the new keeper has caught up."`
}

// Help implements kong.HelpProvider.
func (*keeperReplaceCommand) Help() string {
	return `Start the new keeper first, with an empty data folder and join = yes. It learns the
state before it counts in the quorum. Repeating the command goes on where the first
one stopped.

Examples:
  sesamectl keeper replace 2 4 10.0.0.9:7700`
}

// Run implements the command. Each step of a replacement that was made already
// is passed by, so that the request may be sent again.
func (r *keeperReplaceCommand) Run(s *session) error {
	params := control.KeeperReplaceRequest{Old: r.Old, New: r.New, Address: r.Address}
	s.progress("replacing keeper %d by %d at %s; the new one learns the state first", r.Old, r.New, r.Address)
	s.settings.Timeout = r.WaitTimeout
	call := request{method: control.MethodKeeperReplace, params: params, changes: true, attempt: r.WaitTimeout}
	var result control.KeeperStatus
	if err := s.call(call, &result); err != nil {
		return err
	}
	return s.print(params, func(w io.Writer) {
		say(w, "%s", fmt.Sprintf("keeper %d was replaced by %d; %s keeper status shows it", r.Old, r.New, programName))
	})
}
