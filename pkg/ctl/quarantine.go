package ctl

import (
	"io"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// quarantineCommand groups the commands about quarantines.
type quarantineCommand struct {
	List    quarantineListCommand    `cmd:"" help:"List suspected and convicted requests."`
	Release quarantineReleaseCommand `cmd:"" help:"End a quarantine early."`
}

// quarantineListCommand lists quarantines.
type quarantineListCommand struct{}

// Help implements kong.HelpProvider.
func (*quarantineListCommand) Help() string {
	return `A suspected request runs alone on one upstream at a time; a convicted one is refused.

Examples:
  sesamectl quarantine list`
}

// Run implements the command.
func (*quarantineListCommand) Run(s *session) error {
	var result control.QuarantineListResult
	if err := s.read(control.MethodQuarantineList, struct{}{}, &result); err != nil {
		return err
	}
	return s.print(result, func(w io.Writer) {
		t := newTable(w, "FINGERPRINT\tORGANISATION\tCRASHES\tSTATE\tUNTIL")
		for _, q := range result.Quarantines {
			t.row("%s\t%s\t%d\t%s\t%s", q.Fingerprint, q.Organisation, q.Crashes, quarantineState(q), time.Unix(0, int64(q.Until)).UTC().Format(time.RFC3339))
		}
		t.flush()
	})
}

func quarantineState(q view.Quarantine) string {
	if q.Isolate {
		return "suspect"
	}
	return "convicted"
}

// quarantineReleaseCommand ends one quarantine.
type quarantineReleaseCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint as quarantine list shows it."`
}

// Help implements kong.HelpProvider.
func (*quarantineReleaseCommand) Help() string {
	return `Examples:
  sesamectl quarantine release 9f86d081884c7d65`
}

// Run implements the command. A release is idempotent, so the request may be sent again.
func (r *quarantineReleaseCommand) Run(s *session) error {
	params := control.QuarantineReleaseRequest{Fingerprint: view.Fingerprint(r.Fingerprint), Operator: s.settings.Operator}
	var result struct{}
	if err := s.call(request{method: control.MethodQuarantineRelease, params: params, mutating: true}, &result); err != nil {
		return err
	}
	return s.print(params, func(w io.Writer) { printLine(w, "released %s", r.Fingerprint) })
}
