package logging

import "github.com/charmbracelet/log"

// Level is the minimum severity that is logged.
type Level string

// The levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Check returns ErrUnknownLevel unless the level is one of the constants.
func (l Level) Check() error {
	switch l {
	case Debug, Info, Warn, Error:
		return nil
	}
	return ErrUnknownLevel
}

func (l Level) charmLevel() log.Level {
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
