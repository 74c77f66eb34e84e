package durable

import "github.com/sesamemux/sesamemux/pkg/fleet"

import "encoding/json"

// Departure is an incarnation that drains or has signed off.
type Departure struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born,omitempty"`
	Gone      bool   `json:"gone,omitempty"` // false: it drains
}

// State is the state that the notice puts an incarnation in.
func (d Departure) State() fleet.State {
	if d.Gone {
		return fleet.Gone
	}
	return fleet.Draining
}

// Command is one change. Exactly one field is set.
type Command struct {
	Document *Document   `json:"document,omitempty"`
	Evacuate string      `json:"evacuate,omitempty"` // failure domain
	Restore  string      `json:"restore,omitempty"`  // failure domain
	Depart   []Departure `json:"depart,omitempty"`
}

// Encode returns the command's form in the log.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }
