package serviceproxy

import "github.com/rotisserie/eris"

var (
	// errNoLease says that the lease lapsed before the first byte.
	errNoLease = eris.New("the gate's lease has lapsed")
	// errHostGone says that the host left between the choice and the first
	// byte.
	errHostGone = eris.New("the host takes no new work")
	// errNoPermit says that the gate's share was lowered between the choice
	// and the first byte.
	errNoPermit = eris.New("the permit no longer holds")
	// errBadReply says that a service's word on an outcome can't be read.
	errBadReply = eris.New("the reply about an outcome can't be read")
)
