package serviceproxy

import "github.com/rotisserie/eris"

var (
	// errNoLease reports that the lease lapsed before the first byte was sent.
	errNoLease = eris.New("the gate's lease has lapsed")
	// errHostUnavailable reports that the host stopped accepting work between its
	// selection and the first byte.
	errHostUnavailable = eris.New("the host accepts no new work")
	// errNoPermit reports that the gate's share was lowered between the selection of
	// the host and the first byte.
	errNoPermit = eris.New("the permit is no longer valid")
	// errInvalidOutcomeReply reports that a service's reply to an outcome query is invalid.
	errInvalidOutcomeReply = eris.New("invalid reply to the outcome query")
)
