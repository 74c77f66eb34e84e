package logging

import "github.com/charmbracelet/log"

// Level is the least severity that is written.
type Level string

// The levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Check tells whether the level is known.
func (l Level) Check() error {
	switch l {
	case Debug, Info, Warn, Error:
		return nil
	}
	return ErrUnknownLevel
}

func (l Level) charm() log.Level {
	switch l {
	case Debug:
		return log.DebugLevel
	case Warn:
		return log.WarnLevel
	case Error:
		return log.ErrorLevel
	}
	return log.InfoLevel
}
