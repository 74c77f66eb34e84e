package suspect

import "github.com/rotisserie/eris"

// ErrSnapshot reports that a snapshot could not be decoded.
var ErrSnapshot = eris.New("decode snapshot of suspects")
