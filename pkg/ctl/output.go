package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"maps"
	"text/tabwriter"
)

// json tells whether results are wanted as JSON.
func (s *session) json() bool { return s.flags.Output == "json" }

// print writes a result: as JSON, or as text by a function.
func (s *session) print(result any, text func(w io.Writer)) error {
	if s.json() {
		return writeJSON(s.env.Stdout, result)
	}
	text(s.env.Stdout)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// say writes one line of text.
func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// table writes aligned columns, a header first.
type table struct {
	w    *tabwriter.Writer
	rows int
}

func newTable(w io.Writer, header string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, header)
	return t
}

// row writes the cells that a format separates by \t.
func (t *table) row(format string, cells ...any) {
	t.rows++
	_, _ = fmt.Fprintf(t.w, format+"\n", cells...)
}

func (t *table) end() { _ = t.w.Flush() }

func printFailure(w io.Writer, form string, f *Failure) {
	if form == "json" {
		_ = writeJSON(w, f.text())
		return
	}
	for _, p := range f.Problems {
		say(w, "%s", p.Error())
	}
	say(w, "%s: %s", programName, f.Message)
	if f.Hint != "" {
		say(w, "%s", f.Hint)
	}
}

func keysOf[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }
