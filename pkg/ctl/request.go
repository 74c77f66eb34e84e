package ctl

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// request is one call to the leader. It may be sent again: it changes nothing,
// has a change ID, or is idempotent.
type request struct {
	method   control.Method
	params   any
	changeID string
	changes  bool // it changes something, so that a lost reply leaves its outcome unknown
	// attempt bounds the wait for one server; attemptTimeout when 0.
	attempt time.Duration
}
