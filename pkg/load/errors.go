package load

import "github.com/rotisserie/eris"

var (
	// ErrOptions means that the options are invalid.
	ErrOptions = eris.New("invalid load options")
	// errTruncated means that an answer ended before it was complete.
	errTruncated = eris.New("answer is truncated")
	// errBadAnswer means that an answer can't be decoded.
	errBadAnswer = eris.New("answer can't be decoded")
)
