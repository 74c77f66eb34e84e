package recordlog

import (
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Command is an entry of the log. Exactly one field besides At is set.
type Command struct {
	At       view.Time
	Intend   *once.Intent     `msgpack:",omitempty"`
	Conclude *once.Conclusion `msgpack:",omitempty"`
	GateGone *GateGone        `msgpack:",omitempty"`
	Tick     bool             `msgpack:",omitempty"`
}

// GateGone reports that the lease of a gate's incarnation has lapsed.
type GateGone struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}

// Result is the result of a command.
type Result struct {
	Decision once.Decision
	Settled  once.Result
}
