package logging

import (
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

// Names of common log fields.
const (
	FieldProcess = "process"
	FieldHost    = "host"
	FieldRequest = "request"
	FieldChange  = "change"
)

// timeFormat is RFC 3339 in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options configure a logger.
type Options struct {
	Process string // program and name, such as "gate/g1"
	Host    string // the system's host name if empty
	Level   Level
	// Now returns the time of each line; time.Now if nil.
	Now func() time.Time
}

// New returns a logger that writes one logfmt line per event. Secret values are
// replaced by a placeholder.
func New(w io.Writer, o Options) *log.Logger {
	host := o.Host
	if host == "" {
		host = hostName()
	}
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    func(time.Time) time.Time { return now().UTC() },
		Level:           o.Level.charmLevel(),
		Formatter:       log.LogfmtFormatter,
		Fields:          []any{FieldProcess, o.Process, FieldHost, host},
	})
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return log.New(io.Discard) }

func hostName() string {
	name, err := os.Hostname()
	if err != nil {
		return "unknown"
	}
	return name
}
