package ctl

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// request is one call to the leader. It can be resent safely, since it changes nothing,
// has a change ID, or is idempotent.
type request struct {
	method   control.Method
	params   any
	changeID string
	mutating bool // the outcome is unknown after a lost reply
	// attempt bounds the wait for one server; attemptTimeout if 0.
	attempt time.Duration
}
