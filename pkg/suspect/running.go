package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// Running is a request that ran on an upstream when it crashed.
type Running struct {
	Fingerprint  view.Fingerprint `json:"fingerprint"`
	Organisation string           `json:"organisation"`
	Trial        bool             `json:"trial,omitempty"` // it ran as a suspect, apart from other suspects
}
