package suspect

import "github.com/rotisserie/eris"

// ErrSnapshot says that a snapshot can't be read.
var ErrSnapshot = eris.New("snapshot of suspects can't be read")
