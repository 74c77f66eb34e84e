package engine

import "github.com/rotisserie/eris"

var (
	errOldFence    = eris.New("order carries an old fencing number")
	errIncarnation = eris.New("order is meant for another incarnation")
	errNotHead     = eris.New("not the head of a ready group")
	errWrongGroup  = eris.New("request is meant for another group or epoch")
	errBroken      = eris.New("a member of the group is gone")
	errCancelled   = eris.New("attempt was cancelled")
	errCut         = eris.New("answer was cut off as ordered")
	errPeer        = eris.New("peer is not a ready member of the group")
)
