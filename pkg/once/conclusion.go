package once

import (
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Conclusion tells how an attempt ended.
type Conclusion struct {
	Organisation string          `json:"organisation" msgpack:"o"`
	Service      string          `json:"service" msgpack:"s"`
	Key          string          `json:"key" msgpack:"k"`
	Attempt      string          `json:"attempt" msgpack:"a"`
	Outcome      outcome.Outcome `json:"outcome" msgpack:"r"`
	Answer       *Answer         `json:"answer,omitempty" msgpack:"w,omitempty"` // for Ran
	// Queried says that the service was asked afterwards, by any gate. NotRun
	// then needs the service's word that it never will run.
	Queried bool          `json:"asked,omitempty" msgpack:"q,omitempty"`
	Gate    view.GateName `json:"gate,omitempty" msgpack:"g,omitempty"`
}
