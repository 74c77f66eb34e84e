package logging

import (
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

// Names of fields that stand on many lines.
const (
	FieldProcess = "process"
	FieldHost    = "host"
	FieldRequest = "request"
	FieldChange  = "change"
)

// timeFormat is RFC 3339 in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options say who writes and what is written.
type Options struct {
	Process string // program and name, such as "gate/g1"
	Host    string // the machine's own name when empty
	Level   Level
	// Now gives the time of each line; time.Now when nil.
	Now func() time.Time
}

// New returns a logger that writes one logfmt line for each event. A field
// whose value is a Secret is written as a placeholder.
func New(w io.Writer, o Options) *log.Logger {
	host := o.Host
	if host == "" {
		host = machineName()
	}
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    func(time.Time) time.Time { return now().UTC() },
		Level:           o.Level.charm(),
		Formatter:       log.LogfmtFormatter,
		Fields:          []any{FieldProcess, o.Process, FieldHost, host},
	})
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return log.New(io.Discard) }

func machineName() string {
	name, err := os.Hostname()
	if err != nil {
		return "unknown"
	}
	return name
}
