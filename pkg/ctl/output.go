package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"maps"
	"text/tabwriter"
)

// wantsJSON reports whether results are printed as JSON.
func (s *session) wantsJSON() bool { return s.flags.Output == "json" }

// print writes a result as JSON, or calls text to write it as text.
func (s *session) print(result any, text func(w io.Writer)) error {
	if s.wantsJSON() {
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

// printLine writes one line of text.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// table writes a header and rows in aligned columns.
type table struct {
	w    *tabwriter.Writer
	rows int
}

func newTable(w io.Writer, header string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, header)
	return t
}

// row writes one row; the format separates the cells by \t.
func (t *table) row(format string, cells ...any) {
	t.rows++
	_, _ = fmt.Fprintf(t.w, format+"\n", cells...)
}

func (t *table) flush() { _ = t.w.Flush() }

func printFailure(w io.Writer, form string, f *Failure) {
	if form == "json" {
		_ = writeJSON(w, f.toJSON())
		return
	}
	for _, p := range f.Problems {
		printLine(w, "%s", p.Error())
	}
	printLine(w, "%s: %s", programName, f.Message)
	if f.Hint != "" {
		printLine(w, "%s", f.Hint)
	}
}

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }
