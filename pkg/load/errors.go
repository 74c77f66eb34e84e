package load

import "github.com/rotisserie/eris"

var (
	// ErrOptions says that the options can't be used.
	ErrOptions = eris.New("options of the load are not usable")
	// errCut says that an answer ended before it was whole.
	errCut = eris.New("the answer is cut")
	// errBadAnswer says that an answer can't be read.
	errBadAnswer = eris.New("the answer can't be read")
)
