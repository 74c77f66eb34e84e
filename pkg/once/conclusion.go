package once

import (
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Conclusion reports how an attempt ended.
type Conclusion struct {
	Organisation string          `json:"organisation" msgpack:"o"`
	Service      string          `json:"service" msgpack:"s"`
	Key          string          `json:"key" msgpack:"k"`
	Attempt      string          `json:"attempt" msgpack:"a"`
	Outcome      outcome.Outcome `json:"outcome" msgpack:"r"`
	Answer       *Answer         `json:"answer,omitempty" msgpack:"w,omitempty"` // for Ran
	// Queried says that a gate asked the service about the outcome afterwards. NotRun then
	// requires the service's assurance that the attempt will never run.
	Queried bool          `json:"asked,omitempty" msgpack:"q,omitempty"`
	Gate    view.GateName `json:"gate,omitempty" msgpack:"g,omitempty"`
}
