package timeline

import (
	"fmt"
	"strings"
)

// Event is one recorded event of one process.
type Event struct {
	At            HLC    `json:"at"`
	Process       string `json:"process"`                  // such as "gate/g1"
	FailureDomain string `json:"failure_domain,omitempty"` // of the process
	Kind          Kind   `json:"kind"`
	Request       string `json:"request,omitempty"`
	Attempt       int    `json:"attempt,omitempty"` // from 1
	Group         string `json:"group,omitempty"`
	Host          string `json:"host,omitempty"`
	Domain        string `json:"domain,omitempty"` // failure domain or fabric domain that the event concerns
	Change        string `json:"change,omitempty"`
	Revision      uint64 `json:"revision,omitempty"` // of the view
	Text          string `json:"text,omitempty"`
}

// String formats the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-12s %-20s", e.At.Time().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Kind)
	for _, f := range e.fields() {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	if e.Text != "" {
		fmt.Fprintf(&b, " %q", e.Text)
	}
	return strings.TrimRight(b.String(), " ")
}

// namedValue is one non-empty field of an event.
type namedValue struct {
	name, value string
}

func (e Event) fields() []namedValue {
	all := []namedValue{
		{"request", e.Request}, {"attempt", formatNonZero(uint64(e.Attempt))}, {"group", e.Group}, {"host", e.Host},
		{"domain", e.Domain}, {"change", e.Change}, {"revision", formatNonZero(e.Revision)},
	}
	given := all[:0]
	for _, f := range all {
		if f.value != "" {
			given = append(given, f)
		}
	}
	return given
}

func formatNonZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
