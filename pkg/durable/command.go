package durable

import (
	"encoding/json"

	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// Departure is the notice that an incarnation drains or has deregistered.
type Departure struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born,omitempty"`
	Gone      bool   `json:"gone,omitempty"` // false: it is draining
}

// State returns the state into which the notice puts the incarnation.
func (d Departure) State() fleet.State {
	if d.Gone {
		return fleet.Gone
	}
	return fleet.Draining
}

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Document *Document   `json:"document,omitempty"`
	Evacuate string      `json:"evacuate,omitempty"` // failure domain
	Restore  string      `json:"restore,omitempty"`  // failure domain
	Depart   []Departure `json:"depart,omitempty"`
	// Quarantine holds changes of the requests under quarantine.
	Quarantine []quarantine.Change `json:"quarantine,omitempty"`
}

// Encode returns the encoded form of the command for the log.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }
