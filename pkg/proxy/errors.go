package proxy

import "github.com/rotisserie/eris"

var (
	errNoLease    = eris.New("lease is not valid")
	errRevoked    = eris.New("target or permit is no longer valid")
	errSuspected  = eris.New("suspect request may not run on this upstream now")
	errCallerGone = eris.New("caller closed the connection")
	errUpstream   = eris.New("unexpected response from upstream")
)
