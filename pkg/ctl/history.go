package ctl

import (
	"io"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// historyCommand lists accepted changes.
type historyCommand struct {
	Limit int `default:"20" help:"Maximum number of changes to list; 0 lists all."`
}

// Help implements kong.HelpProvider.
func (*historyCommand) Help() string {
	return `Examples:
  sesamectl history
  sesamectl history --limit 0 -o json`
}

// Run implements the command.
func (h *historyCommand) Run(s *session) error {
	var result control.HistoryResult
	if err := s.read(control.MethodHistory, struct{}{}, &result); err != nil {
		return err
	}
	if h.Limit > 0 && len(result.Changes) > h.Limit {
		result.Changes = result.Changes[:h.Limit]
	}
	return s.print(result, func(w io.Writer) {
		t := newTable(w, "OBJECTS\tVIEW\tAT\tKIND\tOPERATOR\tCHANGE\tSUMMARY")
		for _, c := range result.Changes {
			at := time.Unix(0, int64(c.At)).UTC().Format(time.RFC3339)
			t.row("%d\t%d\t%s\t%s\t%s\t%s\t%s", c.ObjectRevision, c.ViewRevision, at, c.Kind, orDash(c.Operator), c.ChangeID, c.Summary)
		}
		t.flush()
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
