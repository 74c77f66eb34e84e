package routing

import "github.com/sesamemux/sesamemux/pkg/view"

// Serving keeps groups that are in service.
type Serving struct{}

// Name returns the plugin's name.
func (Serving) Name() string { return "serving" }

// Keep tells whether the group takes work.
func (Serving) Keep(_ *Request, c *Candidate) bool { return c.Group.State == view.StateServing }
