package once

import (
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Conclusion tells how an attempt ended.
type Conclusion struct {
	Organisation string          `json:"organisation"`
	Service      string          `json:"service"`
	Key          string          `json:"key"`
	Attempt      string          `json:"attempt"`
	Outcome      outcome.Outcome `json:"outcome"`
	Answer       *Answer         `json:"answer,omitempty"` // for Ran
	// Asked says that the service was asked afterwards, by any gate. NotRun
	// then needs the service's word that it never will run.
	Asked bool          `json:"asked,omitempty"`
	Gate  view.GateName `json:"gate,omitempty"`
}
