package engine

import "github.com/rotisserie/eris"

var (
	errStaleFence     = eris.New("order has an old fencing number")
	errIncarnation    = eris.New("order is for another incarnation")
	errNotHead        = eris.New("this member is not the head of a ready group")
	errWrongGroup     = eris.New("request is for another group or epoch")
	errMemberLost     = eris.New("the group lost a member")
	errCancelled      = eris.New("attempt was cancelled")
	errFaultTruncated = eris.New("answer truncated by an injected fault")
	errPeerReport     = eris.New("report of the peer can't be decoded")
)
