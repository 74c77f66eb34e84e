package ctl

import (
	"io"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// explainCommand describes the fields of objects.
type explainCommand struct {
	Kind string `arg:"" optional:"" help:"Kind of object, such as model-group; all if not given."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string {
	return `Examples:
  sesamectl explain
  sesamectl explain model-group`
}

// Run implements the command.
func (e *explainCommand) Run(s *session) error {
	docs := object.Describe()
	if e.Kind != "" {
		docs = slices.DeleteFunc(docs, func(d object.KindDoc) bool { return string(d.Kind) != e.Kind })
	}
	if len(docs) == 0 {
		return usageFailure("%q is not a kind of object; %s explain lists them", e.Kind, programName)
	}
	return s.print(docs, func(w io.Writer) {
		for i, d := range docs {
			if i > 0 {
				printLine(w, "")
			}
			writeKind(w, d)
		}
	})
}

func writeKind(w io.Writer, d object.KindDoc) {
	printLine(w, "[%s NAME]  %s", d.Kind, d.Meaning)
	t := newTable(w, "  FIELD\tDEFAULT\tALLOWED\tMEANING")
	for _, f := range d.Fields {
		value := orDash(f.Default)
		if f.Required {
			value = "required"
		}
		t.row("  %s\t%s\t%s\t%s", f.Field, value, f.Allowed, f.Meaning)
	}
	t.flush()
}
