package objects

import "github.com/rotisserie/eris"

var (
	errPublished         = eris.New("an invalid set was published")
	errNoPosition        = eris.New("a problem lacks its file, line, object or message")
	errValidRefused      = eris.New("a valid set was refused")
	errLostChange        = eris.New("an accepted change is no longer in force")
	errAppliedTwice      = eris.New("a resent change took effect twice")
	errWrongOutcome      = eris.New("a change sent again under its ID got the wrong outcome")
	errRevisionDecreased = eris.New("a revision decreased or did not follow its predecessor")
	errOtherSetInForce   = eris.New("the set in force differs from the published one")
)
