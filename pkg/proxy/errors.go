package proxy

import "github.com/rotisserie/eris"

var (
	errNoLease    = eris.New("lease is not valid")
	errRevoked    = eris.New("target is not in force any more")
	errSuspected  = eris.New("request may not run there now")
	errCallerGone = eris.New("caller left")
	errUpstream   = eris.New("upstream answered with an error")
)
