package logging

import "github.com/rotisserie/eris"

// ErrUnknownLevel says that a word is no level.
var ErrUnknownLevel = eris.New("unknown log level; levels are debug, info, warn, error")
