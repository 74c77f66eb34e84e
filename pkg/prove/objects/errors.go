package objects

import "github.com/rotisserie/eris"

var (
	errPublished   = eris.New("a set in error was published")
	errNoPlace     = eris.New("a problem does not say where")
	errRefusedGood = eris.New("a set in order was refused")
	errLostChange  = eris.New("an accepted change is no longer in force")
	errRanTwice    = eris.New("one change took effect twice")
	errWrongAnswer = eris.New("a resend got another answer than the first")
	errSteppedBack = eris.New("a revision stepped back")
	errNotTheSet   = eris.New("the set in force is not the one that was published")
)
