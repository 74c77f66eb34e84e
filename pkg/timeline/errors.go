package timeline

import "github.com/rotisserie/eris"

var (
	// ErrInvalidStamp means that a text is not a stamp of a hybrid logical clock.
	ErrInvalidStamp = eris.New("not a clock stamp")
	// ErrClockSkew means that a stamp is ahead of the local clock by more than
	// MaxClockSkew and was ignored.
	ErrClockSkew = eris.New("clock stamp is too far ahead of the local clock")
)
