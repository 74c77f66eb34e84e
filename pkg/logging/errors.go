package logging

import "github.com/rotisserie/eris"

// ErrUnknownLevel is returned for a level that does not exist.
var ErrUnknownLevel = eris.New("unknown log level; levels are debug, info, warn, error")
