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
	Status  keeperStatusCommand  `cmd:"" help:"Show the status of each keeper in the quorum."`
	Replace keeperReplaceCommand `cmd:"" help:"Replace a lost keeper with a new one."`
}

// keeperStatusCommand queries each keeper separately.
type keeperStatusCommand struct{}

// Help implements kong.HelpProvider.
func (*keeperStatusCommand) Help() string {
	return `Queries the servers in the settings and every keeper that they name; needs no leader.

Examples:
  sesamectl keeper status`
}

// keeperResult is the status of one keeper, or the error of the query.
type keeperResult struct {
	Address string                `json:"address"`
	Status  *control.KeeperStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

// Run implements the command.
func (*keeperStatusCommand) Run(s *session) error {
	if err := s.connect(); err != nil {
		return err
	}
	answers := s.queryKeepers()
	err := s.print(answers, func(w io.Writer) { writeKeepers(w, answers) })
	if err == nil && !slices.ContainsFunc(answers, func(a keeperResult) bool { return a.Status != nil }) {
		return &Failure{Code: ExitUnavailable, Message: "no keeper answered", Hint: "check the servers (--servers)"}
	}
	return err
}

// queryKeepers queries the servers in the settings and the keepers that they name. A gate
// answers with the address of a keeper and is left out of the results.
func (s *session) queryKeepers() []keeperResult {
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Timeout)
	defer cancel()
	pending := slices.Clone(s.settings.Servers)
	var answers []keeperResult
	for i := 0; i < len(pending); i++ {
		a := keeperResult{Address: pending[i]}
		var status control.KeeperStatus
		err := s.client.callServer(ctx, a.Address, control.MethodKeeperStatus, struct{}{}, &status)
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

func writeKeepers(w io.Writer, answers []keeperResult) {
	t := newTable(w, "ADDRESS\tID\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED")
	for _, a := range answers {
		if a.Status == nil {
			t.row("%s\t-\tsilent\t-\t-\t-\t-", a.Address)
			continue
		}
		k := a.Status
		t.row("%s\t%d\t%s\t%d\t%d\t%d\t%d", a.Address, k.ID, k.Role, k.Leader, k.Term, k.CommitIndex, k.AppliedIndex)
	}
	t.flush()
	for _, a := range answers {
		if a.Error != "" {
			printLine(w, "%s: %s", a.Address, a.Error)
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
	return `Start the new keeper first, with an empty data directory and join = yes. It receives
the state before it counts in the quorum. Repeating the command continues where the
first one stopped.

Examples:
  sesamectl keeper replace 2 4 10.0.0.9:7700`
}

// Run implements the command. The request is idempotent, since the server skips completed
// steps of a replacement; it may be sent again.
func (r *keeperReplaceCommand) Run(s *session) error {
	params := control.KeeperReplaceRequest{Old: r.Old, New: r.New, Address: r.Address}
	s.progress("replacing keeper %d by %d at %s; the new keeper receives the state first", r.Old, r.New, r.Address)
	s.settings.Timeout = r.WaitTimeout
	call := request{method: control.MethodKeeperReplace, params: params, mutating: true, attempt: r.WaitTimeout}
	var result control.KeeperStatus
	if err := s.call(call, &result); err != nil {
		return err
	}
	return s.print(params, func(w io.Writer) {
		printLine(w, "%s", fmt.Sprintf("keeper %d was replaced by %d; %s keeper status shows it", r.Old, r.New, programName))
	})
}
