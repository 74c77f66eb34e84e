package timeline

import "github.com/rotisserie/eris"

var (
	// ErrInvalidStamp says that a text is no stamp of a hybrid logical clock.
	ErrInvalidStamp = eris.New("not a clock stamp")
	// ErrClockSkew says that a stamp is further ahead of the local clock than
	// MaxAhead and was not taken over.
	ErrClockSkew = eris.New("clock stamp is too far ahead")
)
