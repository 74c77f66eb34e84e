package ctl

import "github.com/sesamemux/sesamemux/pkg/control"

// request is one call to the leader.
type request struct {
	method   control.Method
	params   any
	changeID string
	changes  bool // it changes something, so that a lost reply leaves its outcome unknown
	resend   bool // it may be sent again: it changes nothing, or has a change ID
}
