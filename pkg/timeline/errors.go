package timeline

import "github.com/rotisserie/eris"

var (
	// ErrStamp says that a text is no stamp of a hybrid logical clock.
	ErrStamp = eris.New("not a clock stamp")
	// ErrAhead says that a stamp is further ahead of the local clock than
	// MaxAhead and was not taken over.
	ErrAhead = eris.New("clock stamp is too far ahead")
)
