package control

import "github.com/sesamemux/sesamemux/pkg/endcheck"

// FleetCheckEndRequest asks whether an upstream that refuses connections from an entry host has ended.
type FleetCheckEndRequest struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"`
	Address   string `json:"address"`
}

// FleetCheckEndResult is what the coordinator finds.
type FleetCheckEndResult struct {
	State endcheck.State `json:"state"`
}
