package logging

import "github.com/rotisserie/eris"

// ErrLevel says that a word is no level.
var ErrLevel = eris.New("unknown log level; levels are debug, info, warn, error")
